package org.wagtailpin.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.config.Tunable;

/**
 * Lets a new or returned server take part in a sample with a chance that rises over a time, also
 * after a pause that it asked for.
 */
final class RampGate implements ServerGate {

  private final UniformRandomProvider random;
  private final ColdServers coldServers;
  private final ServerNotices notices;

  RampGate(UniformRandomProvider random, ColdServers coldServers, ServerNotices notices) {
    this.random = random;
    this.coldServers = coldServers;
    this.notices = notices;
  }

  @Override
  public Kind kind() {
    return Kind.SHARE;
  }

  @Override
  public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
    if (coldServers.isCold(server)) {
      // Its limit takes the place of the ramp.
      return 0;
    }
    double rampMillis = service.view().settings().value(Tunable.RAMP_MILLIS);
    double sincePauseMillis = nowMillis - notices.resumedAtMillis(server.server());
    double share =
        Math.min(
            server.health().rampShare((long) nowMillis, rampMillis),
            ServerHealth.rampShare(sincePauseMillis, rampMillis));
    return share >= 1 || random.nextDouble() < share ? 0 : UNKNOWN_MILLIS;
  }
}
