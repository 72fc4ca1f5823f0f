package org.wagtailpin.routing;

import java.util.OptionalDouble;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.limits.RouteStatistics;

/**
 * Learns whether servers leave requests unanswered that they cannot queue, and holds back from
 * those that do and from filling others so far.
 *
 * <p>Nothing changes before a request was seen to be left unanswered: for much longer than its work
 * takes, by a server that answered a probe at the end of that time. A server that is down, frozen
 * or cut off does not answer the probe either. Safe for all threads.
 */
final class UnansweredRequests {

  /**
   * Time for which a server counts as full. A queue of four calls a slot is worked off in four
   * usual service times, 0.5 to 1.4 s.
   */
  private static final long FULL_MILLIS = 1_000;

  /** Margin over the longest work of the first request that is taken to be unanswered. */
  private static final double LEARNING_MARGIN = 1.1;

  /** Margin of the time without an answer over the longest work that is expected. */
  private static final double SILENCE_MARGIN = 1.25;

  /** Share of the room beyond its slots up to which a server is filled, by an estimate. */
  private static final double FILLED_SHARE = 0.5;

  private final Clock clock;
  private final RouteStatistics statistics;
  private final ServerProbes probes;
  private final HeldServers full;
  private volatile boolean seen;

  UnansweredRequests(
      Clock clock, RouteStatistics statistics, ServerProbes probes, HeldServers full) {
    this.clock = clock;
    this.statistics = statistics;
    this.probes = probes;
    this.full = full;
  }

  /** Returns whether a server has been seen to leave a request unanswered. */
  boolean seen() {
    return seen;
  }

  /**
   * Returns the time without an answer from which on a request counts as unanswered, in
   * milliseconds; infinite while no server has been seen to leave one unanswered.
   *
   * @param service the service
   * @param server the server that the request is sent to
   * @param route the route of the request
   */
  double silenceMillis(ServiceState service, ServerState server, String route) {
    return seen
        ? SILENCE_MARGIN * longestMillis(service, server, route).orElse(Double.POSITIVE_INFINITY)
        : Double.POSITIVE_INFINITY;
  }

  private OptionalDouble longestMillis(ServiceState service, ServerState server, String route) {
    OptionalDouble workMillis = statistics.longestMillis(route);
    if (workMillis.isEmpty()) {
      return OptionalDouble.empty();
    }
    double slowness = Math.max(1, ServerCosts.slowness(service, server, clock.exactMillis()));
    return OptionalDouble.of(workMillis.getAsDouble() * slowness + 2 * server.networkDelayMillis());
  }

  /** Counts a server as full, as a request to it has been unanswered for too long. */
  void recordSilence(ServerState server) {
    full.hold(server.server(), clock.exactMillis() + FULL_MILLIS);
  }

  /**
   * Checks whether an attempt that ended without an answer was left unanswered, until one is known
   * to have been.
   *
   * @param service the service
   * @param server the server
   * @param call the call
   * @param report the result of the attempt
   */
  void attemptEnded(
      ServiceState service, ServerState server, CallDescriptor call, AttemptReport report) {
    if (seen || report.load().isPresent() || !report.outcome().mayStillRun()) {
      return;
    }
    OptionalDouble longest = longestMillis(service, server, call.route().name());
    if (longest.isPresent() && report.latencyMillis() >= LEARNING_MARGIN * longest.getAsDouble()) {
      service
          .view()
          .probePath()
          .filter(path -> probes.tryTake(service, server))
          .ifPresent(path -> probes.send(server, path, answer -> probed(service, server, answer)));
    }
  }

  private void probed(ServiceState service, ServerState server, ProbeAnswer answer) {
    if (answer.load().isEmpty()) {
      return;
    }
    service.recordFullLoad(server, answer.load().get(), clock.exactMillis());
    seen = true;
    recordSilence(server);
  }

  /**
   * Returns whether a server may be given a call beyond its slots although reports may be missing
   * what other entries have sent it meanwhile.
   *
   * @param service the service
   * @param candidate the server with its estimated load
   */
  boolean leavesRoom(ServiceState service, Candidate candidate) {
    if (!seen) {
      return true;
    }
    int slots = candidate.server().server().slots();
    return candidate.overload() <= FILLED_SHARE * service.highestQueuePerSlot() * slots;
  }
}
