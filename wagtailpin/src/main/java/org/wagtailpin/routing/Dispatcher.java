package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.membership.LimitShares;

/**
 * Chooses between running a call now, on which server, and queueing it here.
 *
 * <p>A call goes to a server that is taken to have a free slot. When all compared ones are busy, it
 * is queued here, where the first slot that frees up takes it, unless the wait at a server is
 * clearly shorter. Safe for all threads.
 */
final class Dispatcher {

  private final ServerPicker picker;
  private final RegionLinks links;
  private final LimitShares shares;
  private final RouteStatistics statistics;
  private final ServerCosts costs;
  private final Clock clock;

  Dispatcher(
      ServerPicker picker,
      RegionLinks links,
      LimitShares shares,
      RouteStatistics statistics,
      ServerCosts costs,
      Clock clock) {
    this.picker = picker;
    this.links = links;
    this.shares = shares;
    this.statistics = statistics;
    this.costs = costs;
    this.clock = clock;
  }

  /** A server with a slot taken on it, and why. */
  record Dispatch(ServerState server, PlacementReason reason) {}

  /**
   * Takes a slot for a call, or leaves it queued.
   *
   * @param service the service
   * @param request what is asked for
   * @return the server, or empty if the call is to wait
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
    return dispatchToAny(service, request);
  }

  /**
   * Takes the slot on a server where one has just become free.
   *
   * @param service the service
   * @param server the server
   * @param request what is asked for
   */
  Optional<Dispatch> dispatchTo(
      ServiceState service, ServerState server, PlacementRequest request) {
    return picker
        .evaluate(service, server, request)
        .filter(candidate -> links.sameRegion(server.server().region()))
        .filter(candidate -> hasSlotFor(service, candidate, request))
        .flatMap(candidate -> tryTakeSlot(service, candidate, request, PlacementRule.FREED_SLOT));
  }

  /** Tells whether the service has any server that takes work. */
  boolean hasServer(ServiceState service) {
    return picker.anyAcceptingWork(service).isPresent();
  }

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
    double slowness = costs.slowness(service, near.server(), clock.exactMillis());
    return slowness < service.view().settings().value(Tunable.TOLERATED_SLOWNESS)
        || slowness <= service.averageSlowness();
  }

  /** While calls are queued here, a near server costs the wait of the last of them as well. */
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
    if (service.inFlight() == 0) {
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

  /** Returns how long a call that joins the queue here waits for a slot this entry frees. */
  double queueWaitMillis(ServiceState service) {
    int inFlight = service.inFlight();
    if (inFlight == 0) {
      return Double.POSITIVE_INFINITY;
    }
    return (service.queue().size() + 1) * statistics.medianMillis(service.name()) / inFlight;
  }

  /** When no near server is fit, the work is spread over all that stay. */
  private Optional<Dispatch> dispatchToAny(ServiceState service, PlacementRequest request) {
    return picker
        .anyAcceptingWork(service)
        .filter(candidate -> candidate.overload() <= 0 || service.inFlight() == 0)
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
                request.queuedMillis())));
  }
}
