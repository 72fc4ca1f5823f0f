package org.wagtailpin.routing;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Tunable;

/** Compares a few sampled servers of a service, near ones first. Safe for all threads. */
final class ServerPicker {

  private static final int TRIES_FOR_EACH = 2;

  private final Clock clock;
  private final UniformRandomProvider random;
  private final DepartureList departures;
  private final ServerCosts costs;

  ServerPicker(
      Clock clock, UniformRandomProvider random, DepartureList departures, ServerCosts costs) {
    this.clock = clock;
    this.random = random;
    this.departures = departures;
    this.costs = costs;
  }

  /** Tells whether a server may get new work at all. */
  boolean staying(ServerState server) {
    return !server.gone()
        && !server.server().leaving()
        && !server.saysLeaving()
        && !departures.leaving(server.server().address());
  }

  private boolean usable(ServerState server, Request request) {
    long now = clock.millis();
    return staying(server)
        && !server.health().ejected(now)
        && !server.health().paused(now)
        && !request.history().servers().contains(server.server().name());
  }

  /**
   * Returns the cheapest of a sample of the servers of this entry's region.
   *
   * @param service the service
   * @param request what is asked for; servers tried already are left out
   */
  Optional<Choice> near(ServiceState service, Request request) {
    int candidates = (int) service.view().settings().of(Tunable.CANDIDATES);
    return cheapest(service, service.view().near(), candidates, request);
  }

  /**
   * Returns the cheapest of a sample of the servers of other regions.
   *
   * @param service the service
   * @param request what is asked for; servers tried already are left out
   */
  Optional<Choice> far(ServiceState service, Request request) {
    int candidates = (int) service.view().settings().of(Tunable.FAR_CANDIDATES);
    return cheapest(service, service.view().far(), candidates, request);
  }

  private Optional<Choice> cheapest(
      ServiceState service, List<ServerState> servers, int candidates, Request request) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    double now = clock.exactMillis();
    Choice best = null;
    int compared = 0;
    boolean all = servers.size() <= candidates;
    int tries = all ? servers.size() : TRIES_FOR_EACH * candidates;
    int start = random.nextInt(servers.size());
    for (int i = 0; i < tries && compared < candidates; i++) {
      int index = all ? (start + i) % servers.size() : random.nextInt(servers.size());
      ServerState server = servers.get(index);
      if (!usable(server, request) || !warm(service, server)) {
        continue;
      }
      compared++;
      Choice choice = costs.estimate(service, server, now, request.bytes());
      if (best == null || choice.costMillis() < best.costMillis()) {
        best = choice;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean warm(ServiceState service, ServerState server) {
    double rampMillis = service.view().settings().of(Tunable.RAMP_MILLIS);
    double share = server.health().rampShare(clock.millis(), rampMillis);
    return share >= 1 || random.nextDouble() < share;
  }

  /**
   * Estimates the cost on one given server, if it may be used.
   *
   * @param service the service
   * @param server the server
   * @param request what is asked for; servers tried already are left out
   */
  Optional<Choice> only(ServiceState service, ServerState server, Request request) {
    if (!usable(server, request)) {
      return Optional.empty();
    }
    return Optional.of(costs.estimate(service, server, clock.exactMillis(), request.bytes()));
  }

  /**
   * Returns a server that is not leaving, however bad it looks, so that work is spread over all
   * when all look bad.
   *
   * @param service the service
   */
  Optional<Choice> any(ServiceState service) {
    Optional<Choice> near = any(service, service.view().near());
    return near.isPresent() ? near : any(service, service.view().far());
  }

  private Optional<Choice> any(ServiceState service, List<ServerState> servers) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    int start = random.nextInt(servers.size());
    for (int i = 0; i < servers.size(); i++) {
      ServerState server = servers.get((start + i) % servers.size());
      if (staying(server)) {
        return Optional.of(costs.estimate(service, server, clock.exactMillis(), 0));
      }
    }
    return Optional.empty();
  }
}
