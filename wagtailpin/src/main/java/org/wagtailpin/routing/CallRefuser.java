package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.limits.CustomerExcess;
import org.wagtailpin.limits.ReturnTime;

/** Refuses calls, and states why and when their callers may come back. Safe for all threads. */
final class CallRefuser {

  /** The longest wait for a share that is told apart from none. */
  private static final double MAX_SHARE_WAIT_MILLIS = 60_000;

  private final Clock clock;
  private final RoutingTable table;
  private final Dispatcher dispatcher;
  private final PlacementRequests requests;
  private final PlacementObserver observer;
  private final ReturnTime returnTime;
  private final CustomerSharing customers;

  CallRefuser(
      Clock clock,
      RoutingTable table,
      Dispatcher dispatcher,
      PlacementRequests requests,
      PlacementObserver observer,
      ReturnTime returnTime,
      CustomerSharing customers) {
    this.clock = clock;
    this.table = table;
    this.dispatcher = dispatcher;
    this.requests = requests;
    this.observer = observer;
    this.returnTime = returnTime;
    this.customers = customers;
  }

  /**
   * Refuses a call, unless it was decided or withdrawn before.
   *
   * @param queued the call
   * @param step the step at which it is refused
   * @param rule the rule by which it is refused
   */
  void refuse(QueuedCall queued, Step step, PlacementRule rule) {
    if (!queued.tryEndWait()) {
      return;
    }
    Fault fault = new Fault(step, Peer.SELF, "", "not run: " + rule.label());
    observer.refused(queued.call(), fault, refusalReason(rule, queued));
    customers.refused(queued, rule);
    ReturnTime.Backlog backlog =
        queued
            .excess()
            .filter(excess -> rule == PlacementRule.CUSTOMER_SHARE)
            .map(excess -> shareBacklog(queued, excess))
            .orElseGet(() -> backlog(queued));
    long pauseMillis =
        table
            .service(queued.call().route().service())
            .map(service -> (long) Math.ceil(dispatcher.pauseMillis(service)))
            .orElse(0L);
    queued
        .listener()
        .refused(new Refusal(fault, Math.max(returnTime.millis(backlog), pauseMillis)));
  }

  private PlacementReason refusalReason(PlacementRule rule, QueuedCall queued) {
    PlacementRequest request = requests.of(queued);
    return table
        .service(queued.call())
        .map(service -> dispatcher.refusalReason(rule, service, request))
        .orElseGet(
            () -> PlacementReason.unknownService(rule, request.queuedMillis(), request.work()))
        .with(queued.excess());
  }

  private ReturnTime.Backlog backlog(QueuedCall queued) {
    String name = queued.call().route().service();
    Optional<ServiceState> service = table.service(queued.call());
    return new ReturnTime.Backlog(
        name,
        queued.priority(),
        service
            .map(state -> dispatcher.queueWaitMillis(state, queued))
            .orElse(Double.POSITIVE_INFINITY),
        Math.max(0, queued.maxWaitMillis()),
        service.map(dispatcher::millisPerCall).orElse(Double.POSITIVE_INFINITY),
        remainingMillis(queued));
  }

  private ReturnTime.Backlog shareBacklog(QueuedCall queued, CustomerExcess excess) {
    return new ReturnTime.Backlog(
        queued.call().route().service(),
        queued.priority(),
        Math.min(MAX_SHARE_WAIT_MILLIS, excess.waitMillis()),
        0,
        Math.min(MAX_SHARE_WAIT_MILLIS, excess.paceMillis()),
        remainingMillis(queued),
        Optional.of(queued.callerGroup()));
  }

  private long remainingMillis(QueuedCall queued) {
    return queued.call().deadlineMillis() - clock.millis();
  }
}
