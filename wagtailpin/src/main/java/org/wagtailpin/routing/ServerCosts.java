package org.wagtailpin.routing;

import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.RouteStatistics;

/**
 * Estimates the cost of a call on a server, in milliseconds: network delay, queueing, slowness and
 * the risk of a failure.
 */
final class ServerCosts {

  /**
   * Extra cost of a busy server over an idle one while both have free slots, as a share of the
   * service time.
   */
  private static final double BUSY_SLOT_COST = 0.1;

  private static final double BYTES_PER_KIB = 1_024;

  private static final double MILLIS_PER_SECOND = 1000;

  private final RouteStatistics statistics;
  private final UnansweredRequests unanswered;

  ServerCosts(RouteStatistics statistics, UnansweredRequests unanswered) {
    this.statistics = statistics;
    this.unanswered = unanswered;
  }

  /**
   * Estimates the cost of running one more call on a server.
   *
   * @param service the service
   * @param server the server
   * @param nowMillis the current time, in milliseconds
   * @param bytes the number of bytes that the call is expected to transfer
   */
  Candidate estimate(ServiceState service, ServerState server, double nowMillis, double bytes) {
    RoutingSettings settings = service.view().settings();
    double medianServiceMillis = statistics.medianMillis(service.name());
    int slots = server.server().slots();
    double otherLoad =
        server
            .load()
            .otherLoad(
                expectedOtherLoad(service, server, medianServiceMillis),
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

  /**
   * Returns the work of other entries that a server is expected to have, in calls, without a recent
   * report: what other servers have, but no more than the limit that it names lets through.
   */
  private double expectedOtherLoad(
      ServiceState service, ServerState server, double medianServiceMillis) {
    int slots = server.server().slots();
    double average =
        unanswered.seen() ? service.recentOtherLoad(slots) : service.averageOtherLoad(slots);
    return server
        .requestLimit()
        .map(limit -> limit.perSecond() * medianServiceMillis / MILLIS_PER_SECOND)
        .map(limited -> Math.min(average, limited))
        .orElse(average);
  }

  /**
   * Returns whether one more call would raise the load of a server above the share of its slots
   * from which some servers slow down.
   */
  static boolean nearlyFull(ServiceState service, double load, int slots) {
    return load + 1 > service.view().settings().value(Tunable.NEARLY_FULL_SHARE) * slots;
  }

  /** Returns the factor by which work on a server's machine currently takes longer than usual. */
  static double slowness(ServiceState service, ServerState server, double nowMillis) {
    double decayMillis = service.view().settings().value(Tunable.SLOWNESS_TRUST_MILLIS);
    return server.load().slowness(service.averageSlowness(), decayMillis, nowMillis);
  }
}
