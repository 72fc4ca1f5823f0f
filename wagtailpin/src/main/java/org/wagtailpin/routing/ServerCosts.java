package org.wagtailpin.routing;

import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.RouteStatistics;

/** Estimates what a call costs on a server: trips, wait, slowness and the risk of a failure. */
final class ServerCosts {

  /** How much a busy server costs more than an idle one while both have free slots. */
  private static final double BUSY_SLOT_COST = 0.1;

  private static final double BYTES_PER_KIB = 1_024;

  private final RouteStatistics statistics;

  ServerCosts(RouteStatistics statistics) {
    this.statistics = statistics;
  }

  /**
   * Estimates the cost of one more call.
   *
   * @param service the service
   * @param server the server
   * @param nowMillis the time
   * @param bytes how much the call is expected to move
   */
  Candidate estimate(ServiceState service, ServerState server, double nowMillis, double bytes) {
    RoutingSettings settings = service.view().settings();
    double medianServiceMillis = statistics.medianMillis(service.name());
    int slots = server.server().slots();
    double otherLoad =
        server
            .load()
            .otherLoad(
                service.averageOtherLoad(slots),
                server.health().reportTrust(),
                settings.value(Tunable.REPORT_TRUST) * medianServiceMillis,
                nowMillis);
    double load = server.load().inFlight() + Math.max(0, otherLoad);
    double overload = load + 1 - slots;
    double forgetMillis = settings.value(Tunable.FORGET_MILLIS);
    double slowness =
        server
            .health()
            .slowness(nowMillis, forgetMillis, settings.value(Tunable.TOLERATED_SLOWNESS));
    double waitFactor = (Math.max(0, overload) + BUSY_SLOT_COST * load) / slots;
    double failureFactor =
        server.health().failureShare(nowMillis, forgetMillis)
            * settings.value(Tunable.FAILURE_COST);
    double totalSlowness = slowness * slowness(service, server, nowMillis);
    if (nearlyFull(service, load, slots)) {
      totalSlowness *= settings.value(Tunable.NEARLY_FULL_SLOWNESS);
    }
    double costMillis =
        2 * server.networkDelayMillis()
            + server.transferMillisPerKib() * bytes / BYTES_PER_KIB
            + medianServiceMillis * (totalSlowness * (1 + waitFactor) + failureFactor);
    return new Candidate(server, costMillis, overload, load);
  }

  /** Tells whether one more call would fill a server so far that some get slow. */
  static boolean nearlyFull(ServiceState service, double load, int slots) {
    return load + 1 > service.view().settings().value(Tunable.NEARLY_FULL_SHARE) * slots;
  }

  /** Returns how many times longer than usual work takes on a server's machine now. */
  double slowness(ServiceState service, ServerState server, double nowMillis) {
    double decayMillis = service.view().settings().value(Tunable.SLOWNESS_TRUST_MILLIS);
    return server.load().slowness(service.averageSlowness(), decayMillis, nowMillis);
  }
}
