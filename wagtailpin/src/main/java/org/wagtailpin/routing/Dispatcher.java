package org.wagtailpin.routing;

import java.util.List;
import java.util.Optional;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.membership.LimitShares;

/**
 * Decides whether a call runs now, and on which server, or is queued here.
 *
 * <p>A call goes to a server that is estimated to have a free slot. When all compared servers are
 * busy, it is queued here for the first slot that becomes free, unless the wait at a server is
 * clearly shorter. Safe for all threads.
 */
final class Dispatcher {

  private final ServerPicker picker;
  private final RegionLinks links;
  private final LimitShares shares;
  private final RouteStatistics statistics;
  private final UnansweredRequests unanswered;
  private final Clock clock;
  private final RequestLimits limits;
  private final ServerGates gates;
  private final ServerNotices notices;
  private final ServerSubsets subsets;

  Dispatcher(
      ServerPicker picker,
      RegionLinks links,
      LimitShares shares,
      RouteStatistics statistics,
      UnansweredRequests unanswered,
      Clock clock,
      RequestLimits limits,
      ServerGates gates,
      ServerNotices notices,
      ServerSubsets subsets) {
    this.picker = picker;
    this.links = links;
    this.shares = shares;
    this.statistics = statistics;
    this.unanswered = unanswered;
    this.clock = clock;
    this.limits = limits;
    this.gates = gates;
    this.notices = notices;
    this.subsets = subsets;
  }

  /** A server on which a slot is occupied for a call, and the reason for choosing it. */
  record Dispatch(ServerState server, PlacementReason reason) {}

  /**
   * Occupies a slot for a call, if the call is to run now.
   *
   * @param service the service
   * @param request the request
   * @return the server, or empty if the call is to be queued
   */
  Optional<Dispatch> dispatch(ServiceState service, PlacementRequest request) {
    Optional<Candidate> near = picker.cheapestNear(service, request);
    Optional<Candidate> far = cheaperFar(service, near, request);
    if (far.isPresent()) {
      Optional<Dispatch> dispatch =
          tryTakeSlot(service, far.get(), request, PlacementRule.OTHER_REGION);
      if (dispatch.isPresent()) {
        return dispatch;
      }
    }
    if (near.isPresent()) {
      return dispatchNear(service, near.get(), request);
    }
    return picker.isHeldByPace(service, request)
        ? Optional.empty()
        : dispatchToAny(service, request);
  }

  /**
   * Occupies the slot on a near server where one has just become free, if the call may use it.
   *
   * @param service the service
   * @param server the server
   * @param request the request
   */
  Optional<Dispatch> dispatchTo(
      ServiceState service, ServerState server, PlacementRequest request) {
    return picker
        .evaluate(service, server, request)
        .filter(candidate -> links.sameRegion(server.server().region()))
        .filter(candidate -> hasSlotFor(service, candidate, request))
        .flatMap(candidate -> tryTakeSlot(service, candidate, request, PlacementRule.FREED_SLOT));
  }

  /**
   * Returns the reason of a refusal, with what is known of the server that would have been
   * cheapest.
   *
   * @param rule the rule that decided
   * @param service the service
   * @param request the request
   */
  PlacementReason refusalReason(
      PlacementRule rule, ServiceState service, PlacementRequest request) {
    List<Candidate> candidates = picker.candidates(service, service.view().all(), request);
    Optional<Candidate> cheapest = candidates.stream().findFirst();
    return new PlacementReason(
        rule,
        candidates.size(),
        service.inFlight(),
        cheapest.map(Candidate::estimatedLoad).orElse(0.0),
        cheapest
            .map(candidate -> candidate.server().load().reportAgeMillis(request.nowMillis()))
            .orElse(-1.0),
        request.queuedMillis(),
        service.queue().size(),
        request.longWork(),
        statistics.medianMillis(service.name()),
        request.work());
  }

  /** Returns whether any server that may be given the call is estimated to have a free slot. */
  boolean hasFreeSlot(ServiceState service, PlacementRequest request) {
    return service.view().all().stream()
        .flatMap(server -> picker.evaluate(service, server, request).stream())
        .anyMatch(candidate -> hasSlotFor(service, candidate, request));
  }

  /** Returns whether the service has any server that takes work. */
  boolean hasServer(ServiceState service) {
    return service.view().all().stream().anyMatch(server -> picker.acceptsWork(service, server));
  }

  /**
   * Returns a far server with a free slot that is cheaper than the near one, if the near one is
   * busy or slow.
   */
  private Optional<Candidate> cheaperFar(
      ServiceState service, Optional<Candidate> near, PlacementRequest request) {
    if (near.isPresent()
        && hasSlotFor(service, near.get(), request)
        && isFast(service, near.get())) {
      return Optional.empty();
    }
    double nearCost =
        near.map(candidate -> costWithQueueWait(service, candidate))
            .orElse(Double.POSITIVE_INFINITY);
    return picker
        .cheapestFar(service, request)
        .filter(candidate -> hasSlotFor(service, candidate, request))
        .filter(candidate -> candidate.costMillis() < nearCost);
  }

  private boolean isFast(ServiceState service, Candidate near) {
    double slowness = ServerCosts.slowness(service, near.server(), clock.exactMillis());
    return slowness < service.view().settings().value(Tunable.TOLERATED_SLOWNESS)
        || slowness <= service.averageSlowness();
  }

  /** Returns the cost on a near server, plus the queue wait while calls are queued here. */
  private double costWithQueueWait(ServiceState service, Candidate near) {
    if (service.queue().isEmpty() || service.inFlight() == 0) {
      return near.costMillis();
    }
    return near.costMillis() + queueWaitMillis(service);
  }

  private Optional<Dispatch> dispatchNear(
      ServiceState service, Candidate candidate, PlacementRequest request) {
    if (hasSlotFor(service, candidate, request)) {
      return tryTakeSlot(service, candidate, request, PlacementRule.FREE_SLOT);
    }
    if (request.freeSlotOnly()) {
      return Optional.empty();
    }
    if (service.inFlight() == 0 && unanswered.leavesRoom(service, candidate)) {
      return tryTakeSlot(service, candidate, request, PlacementRule.NOTHING_IN_FLIGHT);
    }
    if (request.longWork() || !shorterAtServer(service, candidate)) {
      return Optional.empty();
    }
    return tryTakeSlot(service, candidate, request, PlacementRule.SHORTER_AT_SERVER);
  }

  private boolean hasSlotFor(ServiceState service, Candidate candidate, PlacementRequest request) {
    if (!request.longWork() || withinLongWorkShare(service)) {
      return candidate.overload() <= 0;
    }
    int slots = candidate.server().server().slots();
    double reservedSlots =
        Math.min(slots - 1, service.view().settings().value(Tunable.SHORT_SLOTS));
    return candidate.overload() <= -reservedSlots;
  }

  private static boolean withinLongWorkShare(ServiceState service) {
    int longAttempts = service.longInFlight();
    double share = service.view().settings().value(Tunable.LONG_WORK_SHARE);
    return longAttempts == 0 || longAttempts + 1 <= share * (service.inFlight() + 1);
  }

  private boolean shorterAtServer(ServiceState service, Candidate candidate) {
    RoutingSettings settings = service.view().settings();
    if (candidate.overload() > settings.value(Tunable.SERVER_QUEUE)) {
      return false;
    }
    ServerState server = candidate.server();
    double medianServiceMillis = statistics.medianMillis(service.name());
    double serverWaitMillis = candidate.overload() * medianServiceMillis / server.server().slots();
    return serverWaitMillis * settings.value(Tunable.SERVER_WAIT_FACTOR)
        <= queueWaitMillis(service);
  }

  /** Returns the expected wait, in milliseconds, of a call that goes after all that are queued. */
  private double queueWaitMillis(ServiceState service) {
    return queueWaitMillis(service, Integer.MAX_VALUE);
  }

  /**
   * Returns the expected wait, in milliseconds, of a call that joins the queue now, for a slot that
   * one of this entry's attempts frees; infinite if none is in flight.
   *
   * @param service the service
   * @param priority the priority of the call; less urgent calls do not delay it
   */
  double queueWaitMillis(ServiceState service, int priority) {
    return queueWaitMillisBehind(service, service.queue().sizeAhead(priority));
  }

  /**
   * Returns the expected wait, in milliseconds, of a call that joins the queue now, as {@link
   * #queueWaitMillis(ServiceState, int)}. Calls of other customers that go after it do not delay
   * it.
   */
  double queueWaitMillis(ServiceState service, QueuedCall queued) {
    return queueWaitMillisBehind(service, service.queue().sizeAhead(queued));
  }

  private double queueWaitMillisBehind(ServiceState service, int ahead) {
    return Math.max((ahead + 1) * millisPerSlot(service), limitWaitMillis(service, ahead));
  }

  /**
   * Returns the time, in milliseconds, for which every server that takes work wants no requests; 0
   * if one of them has not asked for a pause.
   */
  double pauseMillis(ServiceState service) {
    double now = clock.exactMillis();
    double shortest = Double.POSITIVE_INFINITY;
    for (ServerState server : service.view().all()) {
      if (picker.acceptsWork(service, server)) {
        shortest = Math.min(shortest, notices.pauseMillis(server.server(), now));
      }
      if (shortest <= 0) {
        return 0;
      }
    }
    return Double.isInfinite(shortest) ? 0 : shortest;
  }

  /**
   * Returns the expected time, in milliseconds, until the limits that servers name let a call
   * through; 0 if a server that takes work has no limit.
   *
   * @param service the service
   * @param ahead how many calls go first
   */
  double limitWaitMillis(ServiceState service, int ahead) {
    return limits.waitMillis(
        service.view().all(), server -> picker.acceptsWork(service, server), ahead);
  }

  /**
   * Returns the expected time, in milliseconds, between two slots that this entry's attempts free;
   * infinite if none is in flight.
   */
  double millisPerSlot(ServiceState service) {
    int inFlight = service.inFlight();
    return inFlight == 0
        ? Double.POSITIVE_INFINITY
        : statistics.medianMillis(service.name()) / inFlight;
  }

  /**
   * Returns the expected time, in milliseconds, between two calls that this entry can serve, by its
   * attempts in flight and by the limits that servers name.
   */
  double millisPerCall(ServiceState service) {
    return Math.max(
        millisPerSlot(service),
        limits.millisPerRequest(
            service.view().all(), server -> picker.acceptsWork(service, server)));
  }

  /** Spreads the work over all servers that take work, as no near server is usable. */
  private Optional<Dispatch> dispatchToAny(ServiceState service, PlacementRequest request) {
    return picker
        .anyAcceptingWork(service)
        .filter(
            candidate ->
                candidate.overload() <= 0 || (service.inFlight() == 0 && !request.freeSlotOnly()))
        .filter(candidate -> unanswered.leavesRoom(service, candidate))
        .flatMap(candidate -> tryTakeSlot(service, candidate, request, PlacementRule.ALL_BAD));
  }

  private Optional<Dispatch> tryTakeSlot(
      ServiceState service, Candidate candidate, PlacementRequest request, PlacementRule rule) {
    ServerState server = candidate.server();
    ConfigServer config = server.server();
    int connections = shares.integerShare(config.name(), config.connections());
    if (!server.load().tryTakeSlot(Math.min(config.slots(), connections))) {
      return Optional.empty();
    }
    double bytes = service.view().settings().value(Tunable.REGION_CALL_BYTES);
    if (!links.tryTakeBytes(config.region(), bytes)) {
      server.load().releaseSlot();
      return Optional.empty();
    }
    if (!gates.tryPass(service, server, clock.exactMillis())) {
      server.load().releaseSlot();
      return Optional.empty();
    }
    subsets.recordRequest(service, request.nowMillis());
    service.attemptStarted(request.longWork());
    return Optional.of(
        new Dispatch(
            server,
            new PlacementReason(
                rule,
                (int) service.view().settings().value(Tunable.CANDIDATES),
                server.load().inFlight(),
                candidate.estimatedLoad(),
                server.load().reportAgeMillis(request.nowMillis()),
                request.queuedMillis(),
                service.queue().size(),
                request.longWork(),
                statistics.medianMillis(service.name()),
                request.work())));
  }
}
