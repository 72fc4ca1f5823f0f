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

  ServerPicker(Clock clock, UniformRandomProvider random, ServerGates gates, ServerCosts costs) {
    this.clock = clock;
    this.random = random;
    this.gates = gates;
    this.costs = costs;
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
