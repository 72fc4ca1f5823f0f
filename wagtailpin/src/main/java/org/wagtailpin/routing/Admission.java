package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.limits.RouteStatistics;

/**
 * Decides by the time that a call has left whether it may be given a server, and whether it may
 * wait for one. Safe for all threads.
 *
 * <p>While a service has no attempt of this entry in flight, its calls are admitted whatever their
 * expected time, so that a new answer can lower the estimate.
 */
final class Admission {

  private final Clock clock;
  private final RouteStatistics statistics;
  private final Dispatcher dispatcher;
  private final PlacementRequests requests;
  private final CustomerSharing customers;

  Admission(
      Clock clock,
      RouteStatistics statistics,
      Dispatcher dispatcher,
      PlacementRequests requests,
      CustomerSharing customers) {
    this.clock = clock;
    this.statistics = statistics;
    this.dispatcher = dispatcher;
    this.requests = requests;
    this.customers = customers;
  }

  /**
   * Returns the rule by which a call is refused whether a server has a free slot or not, if any.
   *
   * @param service the service
   * @param queued the call
   */
  Optional<PlacementRule> refusal(ServiceState service, QueuedCall queued) {
    long now = clock.millis();
    long deadline = queued.call().deadlineMillis();
    if (now >= deadline) {
      return Optional.of(PlacementRule.DEADLINE);
    }
    int ahead = isQueueWaitChecked(queued) ? service.queue().sizeAhead(queued.priority()) : 0;
    double limitWaitMillis = dispatcher.limitWaitMillis(service, ahead);
    if (limitWaitMillis > 0 && now + limitWaitMillis > queued.latestStartMillis()) {
      return Optional.of(PlacementRule.SERVER_LIMITS);
    }
    if (now + dispatcher.pauseMillis(service) > queued.latestStartMillis()
        && dispatcher.pauseMillis(service) > 0) {
      return Optional.of(PlacementRule.SERVERS_PAUSED);
    }
    // The work of other routes shows nothing about a route that has not been answered yet, and a
    // route whose calls are refused gets no answer.
    double measuredMillis = statistics.measuredMillis(queued.call().route().name()).orElse(0);
    return now + measuredMillis > deadline && service.inFlight() > 0
        ? Optional.of(PlacementRule.DEADLINE)
        : Optional.empty();
  }

  /**
   * Returns the rule by which a call that found no free slot may not wait for one, if any.
   *
   * @param service the service
   * @param queued the call
   */
  Optional<PlacementRule> waitRefusal(ServiceState service, QueuedCall queued) {
    if (queued.excess().isPresent()) {
      if (!dispatcher.hasFreeSlot(service, requests.of(queued))) {
        return Optional.of(PlacementRule.CUSTOMER_SHARE);
      }
      customers.admitExcess(queued);
    }
    return canWait(service, queued) ? Optional.empty() : Optional.of(PlacementRule.QUEUE_TOO_LONG);
  }

  private boolean canWait(ServiceState service, QueuedCall queued) {
    if (service.inFlight() == 0) {
      return true;
    }
    double waitMillis =
        isQueueWaitChecked(queued) ? dispatcher.queueWaitMillis(service, queued) : 0;
    return clock.millis() + waitMillis <= queued.latestStartMillis();
  }

  /** Neither deep calls nor work that may wait are refused by an estimate of the queue. */
  private static boolean isQueueWaitChecked(QueuedCall queued) {
    return queued.depth() == 0 && !queued.mayWait();
  }
}
