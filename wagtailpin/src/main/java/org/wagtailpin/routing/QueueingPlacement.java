package org.wagtailpin.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.limits.BacklogReturnTime;
import org.wagtailpin.limits.PriorityQueues;
import org.wagtailpin.limits.ProbeBudget;
import org.wagtailpin.limits.ReturnTime;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.membership.LimitShares;

/**
 * Placement that queues calls in this entry rather than at busy servers.
 *
 * <p>Compares a few near servers by this entry's own attempts in flight and by the servers' load
 * reports, whose weight decays with their age. A call that finds no free slot is queued here and
 * gets the first slot that becomes free, by its priority and in the order of weighted fair queueing
 * over the caller groups. A call that cannot complete before its deadline is refused without being
 * dispatched.
 */
public final class QueueingPlacement implements Placement {

  private final Clock clock;
  private final TaskScheduler scheduler;
  private final RouteStatistics statistics;
  private final PlacementObserver observer;
  private final RoutingTable table;
  private final QueuedCalls calls;
  private final Dispatcher dispatcher;
  private final Admission admission;
  private final AttemptRecorder recorder;
  private final ProbeRounds probes;
  private final QueueProbes queueProbes;
  private final ReturnTime returnTime;
  private final UnansweredRequests unanswered;

  /**
   * Creates a placement that may probe servers for their load.
   *
   * @param config the configuration in force
   * @param locality the location of this entry
   * @param shares this entry's share of fleet-wide limits
   * @param leavingHosts the hosts that the platform's host list names as leaving
   * @param clock the clock of the call deadlines
   * @param random the random numbers by which servers are sampled, safe for all threads
   * @param scheduler schedules checks of the queues and delayed releases of slots
   * @param statistics the measured service times, shared with the retry policy
   * @param observer notified of each decision
   * @param probe probes servers for their load, {@link LoadProbe#none()} for none
   */
  public QueueingPlacement(
      ConfigSource config,
      Locality locality,
      LimitShares shares,
      LeavingHosts leavingHosts,
      Clock clock,
      UniformRandomProvider random,
      TaskScheduler scheduler,
      RouteStatistics statistics,
      PlacementObserver observer,
      LoadProbe probe) {
    this(
        config,
        locality,
        shares,
        leavingHosts,
        clock,
        random,
        scheduler,
        statistics,
        observer,
        probe,
        new ServerNotices(clock, scheduler, observer),
        ServerSubsets.whole());
  }

  /**
   * Creates a placement that also heeds what servers state and may use some of them first.
   *
   * @param notices what servers have stated, shared with the client that receives it
   * @param subsets the servers that this entry uses first
   */
  public QueueingPlacement(
      ConfigSource config,
      Locality locality,
      LimitShares shares,
      LeavingHosts leavingHosts,
      Clock clock,
      UniformRandomProvider random,
      TaskScheduler scheduler,
      RouteStatistics statistics,
      PlacementObserver observer,
      LoadProbe probe,
      ServerNotices notices,
      ServerSubsets subsets) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.statistics = statistics;
    this.observer = observer;
    RegionLinks links = new RegionLinks(locality.region(), shares, clock, config.current());
    this.table = new RoutingTable(config, locality, clock, links);
    ServerProbes serverProbes = new ServerProbes(probe, new ProbeBudget(clock, shares));
    HeldServers full =
        new HeldServers(
            clock, scheduler, observer, ServerChange.UNANSWERING, ServerChange.ANSWERING);
    this.unanswered = new UnansweredRequests(clock, statistics, serverProbes, full);
    this.calls = new QueuedCalls(table, statistics, clock);
    ServerCosts costs = new ServerCosts(statistics, unanswered);
    RequestLimits limits = new RequestLimits(shares, clock, random, observer);
    ServerGates gates =
        new ServerGates(
            List.of(
                new LeavingGate(leavingHosts),
                new StatedLeavingGate(notices),
                new EjectionGate(),
                new RefusalPauseGate(),
                new FullServerGate(full),
                limits,
                new PauseGate(notices),
                new RampGate(random, notices)));
    ServerPicker picker = new ServerPicker(clock, random, gates, costs, subsets);
    this.dispatcher =
        new Dispatcher(
            picker, links, shares, statistics, unanswered, clock, limits, gates, notices, subsets);
    this.admission = new Admission(clock, statistics, dispatcher);
    this.probes = new ProbeRounds(clock, picker, serverProbes, limits, gates, scheduler);
    this.queueProbes = new QueueProbes(clock, probes);
    this.recorder =
        new AttemptRecorder(
            clock,
            statistics,
            observer,
            limits,
            unanswered,
            new HeldServers(
                clock, scheduler, observer, ServerChange.EJECTED, ServerChange.RETURNED));
    this.returnTime = new BacklogReturnTime(clock, random);
  }

  @Override
  public PlacementHandle request(
      CallDescriptor call, AttemptHistory history, PlacementListener listener) {
    QueuedCall queued = calls.queuedCall(call, history, listener);
    Optional<ServiceState> service = table.service(call.route().service());
    if (service.isEmpty() || !dispatcher.hasServer(service.get())) {
      refuse(queued, Step.PICK_SERVER, PlacementRule.NO_SERVER);
      return queued;
    }
    Optional<PlacementRule> refusal = admission.refusal(service.get(), queued);
    if (refusal.isPresent()) {
      refuse(queued, Step.ADMIT, refusal.get());
      return queued;
    }
    if (service.get().queue().isEmpty()) {
      probes.run(
          service.get(), placementRequest(queued), () -> grantOrEnqueue(service.get(), queued));
    } else {
      enqueueInTime(service.get(), queued);
    }
    return queued;
  }

  private void grantOrEnqueue(ServiceState service, QueuedCall queued) {
    if (!queued.waiting()) {
      return;
    }
    if (!service.queue().isEmpty() || !tryGrant(service, queued)) {
      enqueueInTime(service, queued);
    }
  }

  /** Queues a call that found no free slot, or refuses it if it cannot wait for one. */
  private void enqueueInTime(ServiceState service, QueuedCall queued) {
    if (admission.canWait(service, queued)) {
      enqueue(service, queued);
    } else {
      refuse(queued, Step.ADMIT, PlacementRule.QUEUE_TOO_LONG);
    }
  }

  private boolean tryGrant(ServiceState service, QueuedCall queued) {
    return dispatcher
        .dispatch(service, placementRequest(queued))
        .map(dispatch -> grant(service, queued, dispatch))
        .isPresent();
  }

  private PlacementRequest placementRequest(QueuedCall queued) {
    double now = clock.exactMillis();
    return new PlacementRequest(
        queued.history(),
        queued.longWork(),
        now,
        Math.max(0, now - queued.queuedAtMillis()),
        statistics.expectedBytes(queued.call().route().name()),
        workEstimate(queued));
  }

  private WorkEstimate workEstimate(QueuedCall queued) {
    return new WorkEstimate(
        queued.expectedMillis(),
        queued.call().deadlineMillis() - clock.exactMillis(),
        statistics.answers(queued.call().route().name()));
  }

  private boolean grant(ServiceState service, QueuedCall queued, Dispatcher.Dispatch dispatch) {
    if (!queued.tryEndWait()) {
      freeSlot(service, dispatch.server(), queued.longWork());
      return false;
    }
    ServerGrant grant =
        new ServerGrant(service, dispatch.server(), queued, unanswered, this::attemptEnded);
    observer.granted(queued.call(), grant.server(), dispatch.reason());
    queued.listener().granted(grant);
    return true;
  }

  private void refuse(QueuedCall queued, Step step, PlacementRule rule) {
    if (!queued.tryEndWait()) {
      return;
    }
    Fault fault = new Fault(step, Peer.SELF, "", "not run: " + rule.label());
    observer.refused(queued.call(), fault, refusalReason(rule, queued));
    long returnMillis = returnTime.millis(backlog(queued));
    Optional<ServiceState> service = table.service(queued.call().route().service());
    double pauseMillis = service.map(dispatcher::pauseMillis).orElse(0.0);
    Refusal refusal = new Refusal(fault, Math.max(returnMillis, (long) Math.ceil(pauseMillis)));
    queued.listener().refused(refusal);
  }

  private PlacementReason refusalReason(PlacementRule rule, QueuedCall queued) {
    PlacementRequest request = placementRequest(queued);
    return table
        .service(queued.call().route().service())
        .map(service -> dispatcher.refusalReason(rule, service, request))
        .orElseGet(
            () -> PlacementReason.unknownService(rule, request.queuedMillis(), request.work()));
  }

  private ReturnTime.Backlog backlog(QueuedCall queued) {
    String name = queued.call().route().service();
    Optional<ServiceState> service = table.service(name);
    return new ReturnTime.Backlog(
        name,
        queued.priority(),
        service
            .map(state -> dispatcher.queueWaitMillis(state, queued.priority()))
            .orElse(Double.POSITIVE_INFINITY),
        Math.max(0, queued.maxWaitMillis()),
        service.map(dispatcher::millisPerCall).orElse(Double.POSITIVE_INFINITY),
        queued.call().deadlineMillis() - clock.millis());
  }

  private void enqueue(ServiceState service, QueuedCall queued) {
    service.queue().add(queued);
    service.queue().run(() -> serveQueue(service));
    scheduleTick(service);
  }

  private void scheduleTick(ServiceState service) {
    if (service.queue().markTickScheduled()) {
      long tickMillis = (long) service.view().settings().value(Tunable.QUEUE_TICK_MILLIS);
      scheduler.schedule(tickMillis, () -> tick(service));
    }
  }

  private void tick(ServiceState service) {
    service.queue().requestSweep();
    service.queue().run(() -> serveQueue(service));
    if (!service.queue().isEmpty()) {
      scheduleTick(service);
    }
  }

  private void serveQueue(ServiceState service) {
    table.refresh();
    if (service.queue().pollSweepRequest()) {
      refuseExpired(service);
    }
    boolean longFirst = longWorkIsDue(service);
    serveFreedSlots(service, longFirst);
    serve(service, service.queue().queueOf(longFirst));
    serve(service, service.queue().queueOf(!longFirst));
    probeForHead(service, longFirst);
  }

  private void probeForHead(ServiceState service, boolean longFirst) {
    head(service, service.queue().queueOf(longFirst))
        .or(() -> head(service, service.queue().queueOf(!longFirst)))
        .ifPresent(
            head ->
                queueProbes.run(
                    service,
                    placementRequest(head),
                    () -> service.queue().run(() -> serveQueue(service))));
  }

  private Optional<QueuedCall> head(ServiceState service, PriorityQueues<QueuedCall> callQueue) {
    return callQueue.peek(clock.millis(), statistics.medianMillis(service.name()));
  }

  private void refuseExpired(ServiceState service) {
    double pauseMillis = dispatcher.pauseMillis(service);
    PlacementRule rule =
        pauseMillis > 0 ? PlacementRule.SERVERS_PAUSED : PlacementRule.QUEUE_TIME_OVER;
    for (QueuedCall late : service.queue().removeExpired(clock.millis() + (long) pauseMillis)) {
      refuse(late, Step.ADMIT, rule);
    }
  }

  /** Long work goes after short work until half of its maximum wait has passed. */
  private boolean longWorkIsDue(ServiceState service) {
    long now = clock.millis();
    return service
        .queue()
        .queueOf(true)
        .peek(now, 0)
        .map(call -> 2 * (now - call.queuedAtMillis()) > call.maxWaitMillis())
        .orElse(false);
  }

  private void serveFreedSlots(ServiceState service, boolean longFirst) {
    Optional<ServerState> freed = service.queue().pollFreed();
    while (freed.isPresent()) {
      if (!serveHead(service, service.queue().queueOf(longFirst), freed)) {
        serveHead(service, service.queue().queueOf(!longFirst), freed);
      }
      freed = service.queue().pollFreed();
    }
  }

  private void serve(ServiceState service, PriorityQueues<QueuedCall> callQueue) {
    boolean served = true;
    while (served) {
      served = serveHead(service, callQueue, Optional.empty());
    }
  }

  private boolean serveHead(
      ServiceState service, PriorityQueues<QueuedCall> callQueue, Optional<ServerState> freed) {
    Optional<QueuedCall> head = head(service, callQueue);
    if (head.isEmpty()) {
      return false;
    }
    PlacementRequest request = placementRequest(head.get());
    Optional<Dispatcher.Dispatch> dispatch =
        freed.isPresent()
            ? dispatcher.dispatchTo(service, freed.get(), request)
            : dispatcher.dispatch(service, request);
    if (dispatch.isEmpty()) {
      return false;
    }
    callQueue.remove(head.get());
    grant(service, head.get(), dispatch.get());
    return true;
  }

  private void attemptEnded(
      ServiceState service, ServerState server, QueuedCall queued, AttemptReport report) {
    CallDescriptor call = queued.call();
    if (report.outcome().mayStillRun()) {
      double remainingMillis = statistics.expectedMillis(service.name(), call.route().name());
      scheduler.schedule(
          (long) Math.ceil(remainingMillis), () -> freeSlot(service, server, queued.longWork()));
    } else {
      freeSlot(service, server, queued.longWork());
    }
    recorder.recordAttempt(service, server, call, report);
    if (!service.queue().isEmpty()) {
      service.queue().addFreed(server);
      service.queue().run(() -> serveQueue(service));
    }
  }

  private static void freeSlot(ServiceState service, ServerState server, boolean longWork) {
    server.load().releaseSlot();
    service.attemptEnded(longWork);
  }
}
