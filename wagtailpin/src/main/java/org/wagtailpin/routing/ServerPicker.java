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
  private final ServerGates gates;
  private final ServerCosts costs;
  private final ServerSubsets subsets;

  ServerPicker(
      Clock clock,
      UniformRandomProvider random,
      ServerGates gates,
      ServerCosts costs,
      ServerSubsets subsets) {
    this.clock = clock;
    this.random = random;
    this.gates = gates;
    this.costs = costs;
    this.subsets = subsets;
  }

  /** Returns whether a server may be given new work, whatever its health. */
  boolean acceptsWork(ServiceState service, ServerState server) {
    return gates.isOpen(ServerGate.Kind.AVAILABILITY, service, server, clock.exactMillis());
  }

  private boolean usable(
      ServiceState service, ServerState server, PlacementRequest request, double now) {
    return usableButForPace(service, server, request, now)
        && gates.isOpen(ServerGate.Kind.PACE, service, server, now);
  }

  private boolean usableButForPace(
      ServiceState service, ServerState server, PlacementRequest request, double now) {
    return gates.isOpen(ServerGate.Kind.AVAILABILITY, service, server, now)
        && gates.isOpen(ServerGate.Kind.HEALTH, service, server, now)
        && !request.history().servers().contains(server.server().name());
  }

  /** Returns whether a server takes the request, though not at this moment. */
  boolean isHeldByPace(ServiceState service, PlacementRequest request) {
    double now = clock.exactMillis();
    return service.view().all().stream()
        .anyMatch(
            server ->
                usableButForPace(service, server, request, now)
                    && !gates.isOpen(ServerGate.Kind.PACE, service, server, now));
  }

  /**
   * Returns the cheapest of a sample of the servers of this entry's region.
   *
   * @param service the service
   * @param request the request; servers that it has tried already are left out
   */
  Optional<Candidate> cheapestNear(ServiceState service, PlacementRequest request) {
    int maxCandidates = (int) service.view().settings().value(Tunable.CANDIDATES);
    List<ServerState> near = service.view().near();
    int width = subsets.width(service, near.size(), clock.exactMillis());
    return width >= near.size()
        ? cheapest(service, near, maxCandidates, request)
        : cheapestOfSubset(service, subsets.rankedNear(service), width, maxCandidates, request);
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
    List<ServerState> far = service.view().far();
    int width = subsets.width(service, far.size(), clock.exactMillis());
    return width >= far.size()
        ? cheapest(service, far, maxCandidates, request)
        : cheapestOfSubset(service, subsets.rankedFar(service), width, maxCandidates, request);
  }

  /** Widens the subset until one of its servers is estimated to have a free slot. */
  private Optional<Candidate> cheapestOfSubset(
      ServiceState service,
      List<ServerState> ranked,
      int width,
      int maxCandidates,
      PlacementRequest request) {
    int compared = width;
    while (true) {
      Optional<Candidate> best =
          cheapest(service, ranked.subList(0, compared), maxCandidates, request);
      boolean free = best.isPresent() && best.get().overload() <= 0;
      if (free || compared == ranked.size()) {
        return best;
      }
      compared = Math.min(ranked.size(), 2 * compared);
    }
  }

  /**
   * Returns the servers that may be probed for a request: all, or those of the subset.
   *
   * @param service the service
   * @param widening how often the subset is doubled
   */
  List<ServerState> probeCandidates(ServiceState service, int widening) {
    int near = service.view().near().size();
    int width = subsets.width(service, near, clock.exactMillis());
    return width >= near
        ? service.view().all()
        : subsets.rankedNear(service).subList(0, Math.min(near, width << widening));
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
      if (!usable(service, server, request, now)
          || !gates.isOpen(ServerGate.Kind.SHARE, service, server, now)) {
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

  /**
   * Estimates the cost on a given server; returns empty if the server may not be used.
   *
   * @param service the service
   * @param server the server
   * @param request the request; servers that it has tried already may not be used
   */
  Optional<Candidate> evaluate(ServiceState service, ServerState server, PlacementRequest request) {
    double now = clock.exactMillis();
    if (!usable(service, server, request, now)) {
      return Optional.empty();
    }
    return Optional.of(costs.estimate(service, server, now, request.bytes()));
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
   * all servers when all of them look unhealthy. Near servers go first. The pace of servers holds
   * here, too.
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
    double now = clock.exactMillis();
    int start = random.nextInt(servers.size());
    for (int i = 0; i < servers.size(); i++) {
      ServerState server = servers.get((start + i) % servers.size());
      if (gates.isOpen(ServerGate.Kind.AVAILABILITY, service, server, now)
          && gates.isOpen(ServerGate.Kind.PACE, service, server, now)) {
        return Optional.of(costs.estimate(service, server, now, 0));
      }
    }
    return Optional.empty();
  }
}
