package org.wagtailpin.routing;

import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.RouteTimes;

/** Estimates what a call costs on a server: trips, wait, slowness and the risk of a failure. */
final class ServerCosts {

  /** How much a busy server costs more than an idle one while both have free slots. */
  private static final double BUSY_SHARE = 0.1;

  private static final double BYTES_PER_KIB = 1_024;

  private final RouteTimes times;

  ServerCosts(RouteTimes times) {
    this.times = times;
  }

  /**
   * Estimates the cost of one more call.
   *
   * @param service the service
   * @param server the server
   * @param nowMillis the time
   * @param bytes how much the call is expected to move
   */
  Choice estimate(ServiceState service, ServerState server, double nowMillis, double bytes) {
    RoutingSettings settings = service.view().settings();
    double typical = times.typicalMillis(service.name());
    int slots = server.server().slots();
    double others =
        server
            .load()
            .others(
                service.usualOthers(slots),
                server.health().trust(),
                settings.of(Tunable.REPORT_TRUST) * typical,
                nowMillis);
    double load = server.load().inFlight() + Math.max(0, others);
    double overload = load + 1 - slots;
    double forget = settings.of(Tunable.FORGET_MILLIS);
    double slowness =
        server.health().slowness(nowMillis, forget, settings.of(Tunable.TOLERATED_SLOWNESS));
    double waited = (Math.max(0, overload) + BUSY_SHARE * load) / slots;
    double risk =
        server.health().failureShare(nowMillis, forget) * settings.of(Tunable.FAILURE_COST);
    double now = slowness * slowness(service, server, nowMillis);
    if (nearlyFull(service, load, slots)) {
      now *= settings.of(Tunable.NEARLY_FULL_SLOWNESS);
    }
    double cost =
        2 * server.tripMillis()
            + server.distanceMillisPerKib() * bytes / BYTES_PER_KIB
            + typical * (now * (1 + waited) + risk);
    return new Choice(server, cost, overload, load);
  }

  /** Tells whether one more call would fill a server so far that some get slow. */
  static boolean nearlyFull(ServiceState service, double load, int slots) {
    return load + 1 > service.view().settings().of(Tunable.NEARLY_FULL_SHARE) * slots;
  }

  /** Returns how many times longer than usual work takes on a server's machine now. */
  double slowness(ServiceState service, ServerState server, double nowMillis) {
    double trust = service.view().settings().of(Tunable.SLOWNESS_TRUST_MILLIS);
    return server.load().slowness(service.usualSlowness(), trust, nowMillis);
  }
}
