package org.wagtailpin.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.error.Step;
import org.wagtailpin.limits.BacklogReturnTime;
import org.wagtailpin.limits.CustomerAdmission;
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
  private final PlacementRequests requests;
  private final CustomerSharing customers;
  private final CallRefuser refuser;
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
        new CustomerAdmission(clock),
        ServerSubsets.whole());
  }

  /**
   * Creates a placement that also heeds what servers state about themselves, shares capacity
   * between customers by what others know of them, and may use some of the servers first.
   *
   * @param notices what servers have stated, shared with the client that receives it
   * @param customerAdmission decides which calls exceed the shares of their customers
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
      CustomerAdmission customerAdmission,
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
    ColdServers coldServers = new ColdServers(shares, clock, random, observer);
    RequestLimits limits = new RequestLimits(shares, clock, random, observer, coldServers);
    ServerGates gates =
        new ServerGates(
            List.of(
                new LeavingGate(leavingHosts),
                new EvacuationGate(),
                new StatedLeavingGate(notices),
                new EjectionGate(),
                new RefusalPauseGate(),
                new FullServerGate(full),
                limits,
                new PauseGate(notices),
                new RampGate(random, coldServers, notices)));
    ServerPicker picker = new ServerPicker(clock, random, gates, costs, subsets);
    this.dispatcher =
        new Dispatcher(
            picker, links, shares, statistics, unanswered, clock, limits, gates, notices, subsets);
    this.requests = new PlacementRequests(clock, statistics);
    this.customers = new CustomerSharing(customerAdmission);
    this.admission = new Admission(clock, statistics, dispatcher, requests, customers);
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
    ReturnTime returnTime = new BacklogReturnTime(clock, random);
    this.refuser =
        new CallRefuser(clock, table, dispatcher, requests, observer, returnTime, customers);
  }

  /** Takes over the configuration in force, which otherwise happens with the next call. */
  public void refresh() {
    table.refresh();
  }

  @Override
  public PlacementHandle request(
      CallDescriptor call, AttemptHistory history, PlacementListener listener) {
    QueuedCall queued = calls.queuedCall(call, history, listener);
    Optional<ServiceState> service = table.service(call);
    if (service.isEmpty() || !dispatcher.hasServer(service.get())) {
      refuser.refuse(queued, Step.PICK_SERVER, PlacementRule.NO_SERVER);
      return queued;
    }
    Optional<PlacementRule> refusal = admission.refusal(service.get(), queued);
    if (refusal.isPresent()) {
      refuser.refuse(queued, Step.ADMIT, refusal.get());
      return queued;
    }
    customers.judge(queued);
    if (service.get().queue().isEmpty()) {
      probes.run(service.get(), requests.of(queued), () -> grantOrEnqueue(service.get(), queued));
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
    Optional<PlacementRule> refusal = admission.waitRefusal(service, queued);
    if (refusal.isPresent()) {
      refuser.refuse(queued, Step.ADMIT, refusal.get());
    } else {
      enqueue(service, queued);
    }
  }

  private boolean tryGrant(ServiceState service, QueuedCall queued) {
    return dispatcher
        .dispatch(service, requests.of(queued))
        .map(dispatch -> grant(service, queued, dispatch))
        .isPresent();
  }

  private boolean grant(ServiceState service, QueuedCall queued, Dispatcher.Dispatch dispatch) {
    if (!queued.tryEndWait()) {
      freeSlot(service, dispatch.server(), queued.longWork());
      return false;
    }
    customers.granted(queued);
    ServerGrant grant =
        new ServerGrant(service, dispatch.server(), queued, unanswered, this::attemptEnded);
    observer.granted(queued.call(), grant.server(), dispatch.reason());
    queued.listener().granted(grant);
    return true;
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
                    requests.of(head),
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
      refuser.refuse(late, Step.ADMIT, rule);
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
    PlacementRequest request = requests.of(head.get());
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
    recorder.recordAttempt(service.whole(), server, call, report);
    service.serveFreed(server, this::serveQueue);
  }

  private static void freeSlot(ServiceState service, ServerState server, boolean longWork) {
    server.load().releaseSlot();
    service.attemptEnded(longWork);
  }
}
