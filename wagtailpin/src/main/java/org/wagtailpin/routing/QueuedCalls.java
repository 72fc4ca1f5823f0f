package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.RouteStatistics;

/** Creates the entries of the queue, by what is known of each call's route when it comes. */
final class QueuedCalls {

  private final RoutingTable table;
  private final RouteStatistics statistics;
  private final Clock clock;

  QueuedCalls(RoutingTable table, RouteStatistics statistics, Clock clock) {
    this.table = table;
    this.statistics = statistics;
    this.clock = clock;
  }

  QueuedCall queuedCall(CallDescriptor call, AttemptHistory history, PlacementListener listener) {
    String service = call.route().service();
    String route = call.route().name();
    Optional<RoutingSettings> settings = table.service(call).map(state -> state.view().settings());
    double longWorkFactor = settings.map(s -> s.value(Tunable.LONG_WORK_FACTOR)).orElse(1.0);
    double deadlineMargin = settings.map(s -> s.value(Tunable.DEADLINE_MARGIN)).orElse(1.0);
    double expectedMillis = statistics.expectedMillis(service, route);
    return new QueuedCall(
        call,
        history,
        listener,
        table.groupWeight(call.sharingGroup()),
        statistics.isLongWork(service, route, longWorkFactor),
        clock.millis(),
        expectedMillis,
        computeLatestStart(call, settings, deadlineMargin * expectedMillis));
  }

  private long computeLatestStart(
      CallDescriptor call, Optional<RoutingSettings> settings, double neededMillis) {
    long latestStart = call.deadlineMillis() - (long) neededMillis;
    if (call.route().mayWait() || settings.isEmpty()) {
      return latestStart;
    }
    long maxQueueMillis = (long) settings.get().value(Tunable.MAX_QUEUE_MILLIS);
    return Math.min(latestStart, clock.millis() + maxQueueMillis);
  }
}
