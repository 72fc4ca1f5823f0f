package org.wagtailpin.routing;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.limits.RouteStatistics;

/** Creates the inputs of placement decisions on calls. Safe for all threads. */
final class PlacementRequests {

  private final Clock clock;
  private final RouteStatistics statistics;

  PlacementRequests(Clock clock, RouteStatistics statistics) {
    this.clock = clock;
    this.statistics = statistics;
  }

  /** Returns the inputs of a decision on a call that is made now. */
  PlacementRequest of(QueuedCall queued) {
    double now = clock.exactMillis();
    return new PlacementRequest(
        queued.history(),
        queued.longWork(),
        now,
        Math.max(0, now - queued.queuedAtMillis()),
        statistics.expectedBytes(queued.call().route().name()),
        workEstimate(queued),
        queued.excess().isPresent());
  }

  private WorkEstimate workEstimate(QueuedCall queued) {
    return new WorkEstimate(
        queued.expectedMillis(),
        queued.call().deadlineMillis() - clock.exactMillis(),
        statistics.answers(queued.call().route().name()));
  }
}
