package org.wagtailpin.routing;

import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.limits.FairQueue;
import org.wagtailpin.limits.ProbeBudget;
import org.wagtailpin.limits.RouteTimes;
import org.wagtailpin.membership.LimitShares;

/**
 * Placement that queues calls here rather than at busy servers.
 *
 * <p>Compares a few near servers by this entry's own work in flight and the servers' ageing load
 * reports. A call that finds no free slot waits here and goes to the first slot that frees up, in
 * the order of fair shares of the caller groups. A call that cannot be done before its deadline is
 * refused, and was not dispatched.
 */
public final class QueueingPlacement implements Placement {

  private final Clock clock;
  private final DelayedTasks tasks;
  private final RouteTimes times;
  private final PlacementObserver observer;
  private final RoutingTable table;
  private final Dispatcher dispatcher;
  private final AttemptLearning learning;
  private final ProbeRounds probes;

  /**
   * Creates a placement without knowledge of any server.
   *
   * @param config the configuration in force
   * @param locality where this entry stands
   * @param shares this entry's share of limits
   * @param departures the hosts that the platform's list names as leaving
   * @param clock the clock of deadlines
   * @param random the source of samples, safe for all threads
   * @param tasks runs tasks later, for queued calls
   * @param times the learnt service times, shared with the retry policy
   * @param observer told of each decision
   */
  public QueueingPlacement(
      ConfigSource config,
      Locality locality,
      LimitShares shares,
      DepartureList departures,
      Clock clock,
      UniformRandomProvider random,
      DelayedTasks tasks,
      RouteTimes times,
      PlacementObserver observer) {
    this(
        config,
        locality,
        shares,
        departures,
        clock,
        random,
        tasks,
        times,
        observer,
        (server, path, done) -> done.accept(Optional.empty()));
  }

  /**
   * Creates a placement without knowledge of any server, which may ask servers for their load.
   *
   * @param config the configuration in force
   * @param locality where this entry stands
   * @param shares this entry's share of limits
   * @param departures the hosts that the platform's list names as leaving
   * @param clock the clock of deadlines
   * @param random the source of samples, safe for all threads
   * @param tasks runs tasks later, for queued calls
   * @param times the learnt service times, shared with the retry policy
   * @param observer told of each decision
   * @param probe asks servers for their load
   */
  public QueueingPlacement(
      ConfigSource config,
      Locality locality,
      LimitShares shares,
      DepartureList departures,
      Clock clock,
      UniformRandomProvider random,
      DelayedTasks tasks,
      RouteTimes times,
      PlacementObserver observer,
      LoadProbe probe) {
    this.clock = clock;
    this.tasks = tasks;
    this.times = times;
    this.observer = observer;
    RegionLinks links = new RegionLinks(locality.region(), shares, clock, config.current());
    this.table = new RoutingTable(config, locality, clock, links);
    ServerCosts costs = new ServerCosts(times);
    ServerPicker picker = new ServerPicker(clock, random, departures, costs);
    this.dispatcher = new Dispatcher(picker, links, shares, times, costs, clock);
    this.probes =
        new ProbeRounds(clock, picker, costs, probe, new ProbeBudget(clock, shares), tasks);
    this.learning = new AttemptLearning(clock, times, observer);
  }

  @Override
  public PlacementHandle request(
      CallDescriptor call, AttemptHistory history, PlacementListener listener) {
    QueuedCall queued = queuedCall(call, history, listener);
    Optional<ServiceState> service = table.service(call.route().service());
    if (service.isEmpty() || !dispatcher.served(service.get())) {
      refuse(queued, Step.PICK_SERVER, PlacementRule.NO_SERVER);
      return queued;
    }
    Optional<PlacementRule> refusal = admissionRefusal(service.get(), queued);
    if (refusal.isPresent()) {
      refuse(queued, Step.ADMIT, refusal.get());
      return queued;
    }
    if (service.get().queue().isEmpty()) {
      probes.run(service.get(), request(queued), () -> placeOrQueue(service.get(), queued));
    } else {
      enqueue(service.get(), queued);
    }
    return queued;
  }

  private void placeOrQueue(ServiceState service, QueuedCall queued) {
    if (!queued.waiting()) {
      return;
    }
    if (!service.queue().isEmpty() || !tryGrant(service, queued)) {
      enqueue(service, queued);
    }
  }

  private QueuedCall queuedCall(
      CallDescriptor call, AttemptHistory history, PlacementListener listener) {
    String service = call.route().service();
    String route = call.route().name();
    Optional<RoutingSettings> settings =
        table.service(service).map(state -> state.view().settings());
    double factor = settings.map(s -> s.of(Tunable.LONG_WORK_FACTOR)).orElse(1.0);
    double margin = settings.map(s -> s.of(Tunable.DEADLINE_MARGIN)).orElse(1.0);
    double needed = margin * times.expectedMillis(service, route);
    return new QueuedCall(
        call,
        history,
        listener,
        table.weight(call.callerGroup()),
        times.isLong(service, route, factor),
        clock.millis(),
        lastMoment(call, settings, needed));
  }

  private long lastMoment(
      CallDescriptor call, Optional<RoutingSettings> settings, double neededMillis) {
    long latestStart = call.deadlineMillis() - (long) neededMillis;
    if (call.route().mayWait() || settings.isEmpty()) {
      return latestStart;
    }
    long longest = (long) settings.get().of(Tunable.MAX_QUEUE_MILLIS);
    return Math.min(latestStart, clock.millis() + longest);
  }

  /** Work is let through while nothing runs, so that learnt times can fall again. */
  private Optional<PlacementRule> admissionRefusal(ServiceState service, QueuedCall queued) {
    long now = clock.millis();
    if (now >= queued.call().deadlineMillis()) {
      return Optional.of(PlacementRule.DEADLINE);
    }
    if (service.inFlight() == 0) {
      return Optional.empty();
    }
    if (now > queued.latestStartMillis()) {
      return Optional.of(PlacementRule.DEADLINE);
    }
    boolean weighed = queued.depth() == 0 && !queued.mayWait();
    if (weighed && now + dispatcher.waitHereMillis(service) > queued.latestStartMillis()) {
      return Optional.of(PlacementRule.QUEUE_TOO_LONG);
    }
    return Optional.empty();
  }

  private boolean tryGrant(ServiceState service, QueuedCall queued) {
    return dispatcher
        .dispatch(service, request(queued))
        .map(dispatch -> grant(service, queued, dispatch))
        .isPresent();
  }

  private Request request(QueuedCall queued) {
    double now = clock.exactMillis();
    return new Request(
        queued.history(),
        queued.longWork(),
        now,
        Math.max(0, now - queued.queuedAtMillis()),
        times.expectedBytes(queued.call().route().name()));
  }

  private boolean grant(ServiceState service, QueuedCall queued, Dispatcher.Dispatch dispatch) {
    if (!queued.take()) {
      giveBack(service, dispatch.server(), queued.longWork());
      return false;
    }
    ServerGrant grant = new ServerGrant(service, dispatch.server(), queued, this::ended);
    observer.granted(queued.call(), grant.server(), dispatch.reason());
    queued.listener().granted(grant);
    return true;
  }

  private void refuse(QueuedCall queued, Step step, PlacementRule rule) {
    if (!queued.take()) {
      return;
    }
    Fault fault = new Fault(step, Peer.SELF, "", "not run: " + rule.label());
    double waited = Math.max(0, clock.millis() - queued.queuedAtMillis());
    observer.refused(queued.call(), fault, PlacementReason.refusal(rule, waited));
    queued.listener().refused(fault);
  }

  private void enqueue(ServiceState service, QueuedCall queued) {
    service.queue().add(queued);
    service.queue().run(() -> serveQueue(service));
    scheduleTick(service);
  }

  private void scheduleTick(ServiceState service) {
    if (service.queue().claimTick()) {
      long tick = (long) service.view().settings().of(Tunable.QUEUE_TICK_MILLIS);
      tasks.schedule(tick, () -> tick(service));
    }
  }

  private void tick(ServiceState service) {
    service.queue().sweepDue();
    service.queue().run(() -> serveQueue(service));
    if (!service.queue().isEmpty()) {
      scheduleTick(service);
    }
  }

  private void serveQueue(ServiceState service) {
    table.refresh();
    if (service.queue().takeSweep()) {
      sweepQueue(service);
    }
    boolean longFirst = longWaitedEnough(service);
    serveFreedSlots(service, longFirst);
    serve(service, service.queue().order(longFirst));
    serve(service, service.queue().order(!longFirst));
  }

  private void sweepQueue(ServiceState service) {
    for (QueuedCall late : service.queue().removeLate(clock.millis())) {
      refuse(late, Step.ADMIT, PlacementRule.QUEUE_TIME_OVER);
    }
  }

  /** Long work goes after short work until half of the time that it can wait is over. */
  private boolean longWaitedEnough(ServiceState service) {
    long now = clock.millis();
    return service
        .queue()
        .order(true)
        .peek(now, 0)
        .map(call -> 2 * (now - call.queuedAtMillis()) > call.patienceMillis())
        .orElse(false);
  }

  private void serveFreedSlots(ServiceState service, boolean longFirst) {
    Optional<ServerState> freed = service.queue().nextFreed();
    while (freed.isPresent()) {
      if (!serveHead(service, service.queue().order(longFirst), freed)) {
        serveHead(service, service.queue().order(!longFirst), freed);
      }
      freed = service.queue().nextFreed();
    }
  }

  private void serve(ServiceState service, FairQueue<QueuedCall> order) {
    boolean served = true;
    while (served) {
      served = serveHead(service, order, Optional.empty());
    }
  }

  private boolean serveHead(
      ServiceState service, FairQueue<QueuedCall> order, Optional<ServerState> freed) {
    double urgent = times.typicalMillis(service.name());
    Optional<QueuedCall> head = order.peek(clock.millis(), urgent);
    if (head.isEmpty()) {
      return false;
    }
    Request request = request(head.get());
    Optional<Dispatcher.Dispatch> dispatch =
        freed.isPresent()
            ? dispatcher.dispatchTo(service, freed.get(), request)
            : dispatcher.dispatch(service, request);
    if (dispatch.isEmpty()) {
      return false;
    }
    order.remove(head.get());
    grant(service, head.get(), dispatch.get());
    return true;
  }

  private void ended(
      ServiceState service, ServerState server, QueuedCall queued, AttemptReport report) {
    CallDescriptor call = queued.call();
    if (mayStillRun(report.outcome())) {
      double rest = times.expectedMillis(service.name(), call.route().name());
      tasks.schedule((long) Math.ceil(rest), () -> giveBack(service, server, queued.longWork()));
    } else {
      giveBack(service, server, queued.longWork());
    }
    learning.learn(service, server, call, report);
    if (!service.queue().isEmpty()) {
      service.queue().freed(server);
      service.queue().run(() -> serveQueue(service));
    }
  }

  private static boolean mayStillRun(AttemptOutcome outcome) {
    return outcome instanceof AttemptOutcome.Unknown || outcome instanceof AttemptOutcome.Cancelled;
  }

  private static void giveBack(ServiceState service, ServerState server, boolean longWork) {
    server.load().end();
    service.ended(longWork);
  }
}
