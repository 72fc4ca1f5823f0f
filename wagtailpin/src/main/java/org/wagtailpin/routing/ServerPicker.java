package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Tunable;

/** Selects servers of a service by the estimated costs of a small sample. Safe for all threads. */
final class ServerPicker {

  private static final int TRIES_PER_CANDIDATE = 2;

  private final Clock clock;
  private final UniformRandomProvider random;
  private final LeavingHosts leavingHosts;
  private final ServerCosts costs;
  private final RequestLimits limits;

  ServerPicker(
      Clock clock,
      UniformRandomProvider random,
      LeavingHosts leavingHosts,
      ServerCosts costs,
      RequestLimits limits) {
    this.clock = clock;
    this.random = random;
    this.leavingHosts = leavingHosts;
    this.costs = costs;
    this.limits = limits;
  }

  /** Returns whether a server may be given new work, whatever its health. */
  boolean acceptsWork(ServerState server) {
    return !server.removed()
        && !server.evacuated()
        && !server.server().leaving()
        && !server.reportsLeaving()
        && !leavingHosts.isLeaving(server.server().address());
  }

  private boolean usable(ServerState server, PlacementRequest request) {
    return usableButForLimits(server, request) && limits.allow(server);
  }

  private boolean usableButForLimits(ServerState server, PlacementRequest request) {
    long now = clock.millis();
    return acceptsWork(server)
        && !server.health().isEjected(now)
        && !server.health().isPaused(now)
        && !request.history().servers().contains(server.server().name());
  }

  /** Returns whether a server takes the request as soon as the limit that it names allows one. */
  boolean isHeldByLimit(ServiceState service, PlacementRequest request) {
    return service.view().all().stream()
        .anyMatch(server -> usableButForLimits(server, request) && !limits.allow(server));
  }

  /**
   * Returns the cheapest of a sample of the servers of this entry's region.
   *
   * @param service the service
   * @param request the request; servers that it has tried already are left out
   */
  Optional<Candidate> cheapestNear(ServiceState service, PlacementRequest request) {
    int maxCandidates = (int) service.view().settings().value(Tunable.CANDIDATES);
    return cheapest(service, service.view().near(), maxCandidates, request);
  }

  /**
   * Returns the cheapest of a sample of the servers of other regions.
   *
   * @param service the service
   * @param request the request; servers that it has tried already are left out
   */
  Optional<Candidate> cheapestFar(ServiceState service, PlacementRequest request) {
    RoutingSettings settings = service.view().settings();
    // Of calls that may not run in this entry's region, all servers are far.
    boolean allFar = service.isPart() && service.view().near().isEmpty();
    int maxCandidates = (int) settings.value(allFar ? Tunable.CANDIDATES : Tunable.FAR_CANDIDATES);
    return cheapest(service, service.view().far(), maxCandidates, request);
  }

  private Optional<Candidate> cheapest(
      ServiceState service,
      List<ServerState> servers,
      int maxCandidates,
      PlacementRequest request) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    double now = clock.exactMillis();
    Candidate best = null;
    int compared = 0;
    boolean compareAll = servers.size() <= maxCandidates;
    int tries = compareAll ? servers.size() : TRIES_PER_CANDIDATE * maxCandidates;
    int start = random.nextInt(servers.size());
    for (int i = 0; i < tries && compared < maxCandidates; i++) {
      int index = compareAll ? (start + i) % servers.size() : random.nextInt(servers.size());
      ServerState server = servers.get(index);
      if (!usable(server, request) || !admittedByRamp(service, server)) {
        continue;
      }
      compared++;
      Candidate candidate = costs.estimate(service, server, now, request.bytes());
      if (best == null || candidate.costMillis() < best.costMillis()) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Admits a server that is ramping up with the probability of its ramp share. */
  private boolean admittedByRamp(ServiceState service, ServerState server) {
    if (limits.isCold(server)) {
      return true;
    }
    double rampMillis = service.view().settings().value(Tunable.RAMP_MILLIS);
    double share = server.health().rampShare(clock.millis(), rampMillis);
    return share >= 1 || random.nextDouble() < share;
  }

  /**
   * Estimates the cost on a given server; returns empty if the server may not be used.
   *
   * @param service the service
   * @param server the server
   * @param request the request; servers that it has tried already may not be used
   */
  Optional<Candidate> evaluate(ServiceState service, ServerState server, PlacementRequest request) {
    if (!usable(server, request)) {
      return Optional.empty();
    }
    return Optional.of(costs.estimate(service, server, clock.exactMillis(), request.bytes()));
  }

  /**
   * Returns those of some servers that may be given a call, busy or not, the cheapest first.
   *
   * @param service the service
   * @param servers the servers
   * @param request the request; servers that it has tried already are left out
   */
  List<Candidate> candidates(
      ServiceState service, Iterable<ServerState> servers, PlacementRequest request) {
    List<Candidate> candidates = new ArrayList<>();
    for (ServerState server : servers) {
      evaluate(service, server, request).ifPresent(candidates::add);
    }
    candidates.sort(Comparator.comparingDouble(Candidate::costMillis));
    return candidates;
  }

  /**
   * Returns a random server that takes new work, whatever its health, so that work is spread over
   * all servers when all of them look unhealthy. Near servers go first. Limits that servers name
   * hold here, too.
   *
   * @param service the service
   */
  Optional<Candidate> anyAcceptingWork(ServiceState service) {
    Optional<Candidate> near = anyAcceptingWork(service, service.view().near());
    return near.isPresent() ? near : anyAcceptingWork(service, service.view().far());
  }

  private Optional<Candidate> anyAcceptingWork(ServiceState service, List<ServerState> servers) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    int start = random.nextInt(servers.size());
    for (int i = 0; i < servers.size(); i++) {
      ServerState server = servers.get((start + i) % servers.size());
      if (acceptsWork(server) && limits.allow(server)) {
        return Optional.of(costs.estimate(service, server, clock.exactMillis(), 0));
      }
    }
    return Optional.empty();
  }
}
