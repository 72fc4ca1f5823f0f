package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.RouteTimes;
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
  private final RouteTimes times;
  private final ServerCosts costs;
  private final Clock clock;

  Dispatcher(
      ServerPicker picker,
      RegionLinks links,
      LimitShares shares,
      RouteTimes times,
      ServerCosts costs,
      Clock clock) {
    this.picker = picker;
    this.links = links;
    this.shares = shares;
    this.times = times;
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
  Optional<Dispatch> dispatch(ServiceState service, Request request) {
    Optional<Choice> near = picker.near(service, request);
    Optional<Choice> far = worthTheTrip(service, near, request);
    if (far.isPresent()) {
      Optional<Dispatch> dispatch = begin(service, far.get(), request, PlacementRule.OTHER_REGION);
      if (dispatch.isPresent()) {
        return dispatch;
      }
    }
    if (near.isPresent()) {
      return take(service, near.get(), request);
    }
    return spread(service, request);
  }

  /**
   * Takes the slot on a server where one has just become free.
   *
   * @param service the service
   * @param server the server
   * @param request what is asked for
   */
  Optional<Dispatch> dispatchTo(ServiceState service, ServerState server, Request request) {
    return picker
        .only(service, server, request)
        .filter(choice -> links.nearby(server.server().region()))
        .filter(choice -> fits(service, choice, request))
        .flatMap(choice -> begin(service, choice, request, PlacementRule.FREED_SLOT));
  }

  /** Tells whether the service has any server that takes work. */
  boolean served(ServiceState service) {
    return picker.any(service).isPresent();
  }

  private Optional<Choice> worthTheTrip(
      ServiceState service, Optional<Choice> near, Request request) {
    if (near.isPresent() && fits(service, near.get(), request) && quick(service, near.get())) {
      return Optional.empty();
    }
    double nearCost =
        near.map(choice -> costWithWait(service, choice)).orElse(Double.POSITIVE_INFINITY);
    return picker
        .far(service, request)
        .filter(choice -> fits(service, choice, request))
        .filter(choice -> choice.costMillis() < nearCost);
  }

  private boolean quick(ServiceState service, Choice near) {
    double slowness = costs.slowness(service, near.server(), clock.exactMillis());
    return slowness < service.view().settings().of(Tunable.TOLERATED_SLOWNESS)
        || slowness <= service.usualSlowness();
  }

  /** While calls are queued here, a near server costs the wait of the last of them as well. */
  private double costWithWait(ServiceState service, Choice near) {
    if (service.queue().isEmpty() || service.inFlight() == 0) {
      return near.costMillis();
    }
    return near.costMillis() + waitHereMillis(service);
  }

  private Optional<Dispatch> take(ServiceState service, Choice choice, Request request) {
    if (fits(service, choice, request)) {
      return begin(service, choice, request, PlacementRule.FREE_SLOT);
    }
    if (service.inFlight() == 0) {
      return begin(service, choice, request, PlacementRule.NOTHING_IN_FLIGHT);
    }
    if (request.longWork() || !shorterThere(service, choice)) {
      return Optional.empty();
    }
    return begin(service, choice, request, PlacementRule.SHORTER_AT_SERVER);
  }

  private boolean fits(ServiceState service, Choice choice, Request request) {
    if (!request.longWork() || withinLongShare(service)) {
      return choice.overload() <= 0;
    }
    int slots = choice.server().server().slots();
    double kept = Math.min(slots - 1, service.view().settings().of(Tunable.SHORT_SLOTS));
    return choice.overload() <= -kept;
  }

  private static boolean withinLongShare(ServiceState service) {
    int longOnes = service.longInFlight();
    double share = service.view().settings().of(Tunable.LONG_WORK_SHARE);
    return longOnes == 0 || longOnes + 1 <= share * (service.inFlight() + 1);
  }

  private boolean shorterThere(ServiceState service, Choice choice) {
    RoutingSettings settings = service.view().settings();
    if (choice.overload() > settings.of(Tunable.SERVER_QUEUE)) {
      return false;
    }
    ServerState server = choice.server();
    double typical = times.typicalMillis(service.name());
    double waitThere = choice.overload() * typical / server.server().slots();
    return waitThere * settings.of(Tunable.SERVER_WAIT_FACTOR) <= waitHereMillis(service);
  }

  /** Returns how long a call that joins the queue here waits for a slot this entry frees. */
  double waitHereMillis(ServiceState service) {
    int inFlight = service.inFlight();
    if (inFlight == 0) {
      return Double.POSITIVE_INFINITY;
    }
    return (service.queue().size() + 1) * times.typicalMillis(service.name()) / inFlight;
  }

  /** When no near server is fit, the work is spread over all that stay. */
  private Optional<Dispatch> spread(ServiceState service, Request request) {
    return picker
        .any(service)
        .filter(choice -> choice.overload() <= 0 || service.inFlight() == 0)
        .flatMap(choice -> begin(service, choice, request, PlacementRule.ALL_BAD));
  }

  private Optional<Dispatch> begin(
      ServiceState service, Choice choice, Request request, PlacementRule rule) {
    ServerState server = choice.server();
    ConfigServer config = server.server();
    int connections = shares.integerShare(config.name(), config.connections());
    if (!server.load().begin(Math.min(config.slots(), connections))) {
      return Optional.empty();
    }
    double bytes = service.view().settings().of(Tunable.REGION_CALL_BYTES);
    if (!links.takeBytes(config.region(), bytes)) {
      server.load().end();
      return Optional.empty();
    }
    service.began(request.longWork());
    return Optional.of(
        new Dispatch(
            server,
            new PlacementReason(
                rule,
                (int) service.view().settings().of(Tunable.CANDIDATES),
                server.load().inFlight(),
                choice.load(),
                server.load().ageMillis(request.nowMillis()),
                request.queuedMillis())));
  }
}
