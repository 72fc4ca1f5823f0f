package org.wagtailpin.routing;

import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.config.Tunable;

/** Lets a new or returned server take part in a sample with a chance that rises over a time. */
final class RampGate implements ServerGate {

  private final UniformRandomProvider random;
  private final ColdServers coldServers;

  RampGate(UniformRandomProvider random, ColdServers coldServers) {
    this.random = random;
    this.coldServers = coldServers;
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
    double share = server.health().rampShare((long) nowMillis, rampMillis);
    return share >= 1 || random.nextDouble() < share ? 0 : UNKNOWN_MILLIS;
  }
}
