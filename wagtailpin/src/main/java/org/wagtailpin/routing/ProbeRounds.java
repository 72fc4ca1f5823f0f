package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Tunable;

/**
 * Probes a few servers for their load before a call is placed, if no recent report is known.
 *
 * <p>Load changes faster than answers bring reports, so a call is placed better by a report that is
 * younger than these changes. Rounds go on, cheapest servers first, until one server is known to be
 * free and fast, no server is left to probe, or the time for probing is over. Safe for all threads.
 */
final class ProbeRounds {

  /** How often the subset of servers is doubled while calls wait. */
  private static final int QUEUE_WIDENING = 2;

  private final Clock clock;
  private final ServerPicker picker;
  private final ServerProbes probes;
  private final RequestLimits limits;
  private final ServerGates gates;
  private final TaskScheduler scheduler;

  ProbeRounds(
      Clock clock,
      ServerPicker picker,
      ServerProbes probes,
      RequestLimits limits,
      ServerGates gates,
      TaskScheduler scheduler) {
    this.clock = clock;
    this.picker = picker;
    this.probes = probes;
    this.limits = limits;
    this.gates = gates;
    this.scheduler = scheduler;
  }

  /**
   * Probes servers and then runs the callback.
   *
   * @param service the service
   * @param request the request; servers that it has tried already are not probed
   * @param callback run once, immediately if there is nothing to probe
   */
  void run(ServiceState service, PlacementRequest request, Runnable callback) {
    run(service, picker.probeCandidates(service, 0), request, callback);
  }

  /**
   * Probes servers of this entry's region, or all if none of these may be probed, and then runs the
   * callback.
   *
   * @param service the service
   * @param request the request; servers that it has tried already are not probed
   * @param callback run once, immediately if there is nothing to probe
   */
  void runNear(ServiceState service, PlacementRequest request, Runnable callback) {
    ServiceView view = service.view();
    boolean nearMayBeProbed = view.near().stream().anyMatch(server -> mayBeProbed(service, server));
    List<ServerState> candidates = picker.probeCandidates(service, QUEUE_WIDENING);
    boolean allNear = candidates.size() >= view.near().size();
    run(service, nearMayBeProbed && allNear ? view.near() : candidates, request, callback);
  }

  private boolean mayBeProbed(ServiceState service, ServerState server) {
    return gates.allowsProbe(service, server, clock.exactMillis());
  }

  private void run(
      ServiceState service,
      Iterable<ServerState> servers,
      PlacementRequest request,
      Runnable callback) {
    ServiceView view = service.view();
    Optional<String> path = view.probePath();
    double endMillis = clock.exactMillis() + view.settings().value(Tunable.PROBE_MILLIS);
    if (path.isEmpty()
        || view.settings().value(Tunable.PROBES_PER_ROUND) < 1
        || !service.mayReportLoad()) {
      callback.run();
      return;
    }
    new Run(service, servers, request, path.get(), endMillis, callback).nextRound();
  }

  /** The probe rounds of one call. */
  private final class Run {
    private final ServiceState service;
    private final Iterable<ServerState> servers;
    private final PlacementRequest request;
    private final String path;
    private final double endMillis;
    private final Runnable callback;
    private final Set<String> probed = new HashSet<>();

    Run(
        ServiceState service,
        Iterable<ServerState> servers,
        PlacementRequest request,
        String path,
        double endMillis,
        Runnable callback) {
      this.service = service;
      this.servers = servers;
      this.request = request;
      this.path = path;
      this.endMillis = endMillis;
      this.callback = callback;
    }

    void nextRound() {
      double now = clock.exactMillis();
      if (now >= endMillis) {
        callback.run();
        return;
      }
      List<Candidate> candidates = picker.candidates(service, servers, request);
      if (candidates.isEmpty() || knownFree(candidates.get(0), now)) {
        callback.run();
        return;
      }
      List<ServerState> selected = selectServers(candidates, now);
      if (selected.isEmpty()) {
        callback.run();
      } else {
        sendProbes(selected);
      }
    }

    /** Returns whether a server is known to be free and fast, so that no other needs probing. */
    private boolean knownFree(Candidate candidate, double now) {
      return hasFreshReport(candidate.server(), now)
          && candidate.overload() <= 0
          && !ServerCosts.nearlyFull(
              service, candidate.estimatedLoad(), candidate.server().server().slots())
          && ServerCosts.slowness(service, candidate.server(), now)
              < service.view().settings().value(Tunable.TOLERATED_SLOWNESS);
    }

    private boolean hasFreshReport(ServerState server, double now) {
      double ageMillis = server.load().reportAgeMillis(now);
      return ageMillis >= 0
          && ageMillis < service.view().settings().value(Tunable.REPORT_FRESH_MILLIS);
    }

    private List<ServerState> selectServers(List<Candidate> candidates, double now) {
      int maxProbes = (int) service.view().settings().value(Tunable.PROBES_PER_ROUND);
      List<ServerState> selected = new ArrayList<>();
      for (Candidate candidate : candidates) {
        ServerState server = candidate.server();
        if (selected.size() < maxProbes
            && !probed.contains(server.server().name())
            && !hasFreshReport(server, now)
            && mayBeProbed(service, server)
            && probes.tryTake(service, server)) {
          probed.add(server.server().name());
          selected.add(server);
        }
      }
      return selected;
    }

    private void sendProbes(List<ServerState> selected) {
      AtomicBoolean finished = new AtomicBoolean();
      AtomicInteger pending = new AtomicInteger(selected.size());
      double remainingMillis = endMillis - clock.exactMillis();
      var timeout =
          scheduler.schedule(
              (long) Math.ceil(Math.max(1, remainingMillis)),
              () -> {
                if (finished.compareAndSet(false, true)) {
                  callback.run();
                }
              });
      for (ServerState server : selected) {
        probes.send(
            server,
            path,
            answer -> {
              double now = clock.exactMillis();
              answer.load().ifPresent(load -> service.recordLoad(server, load, now));
              limits.record(server, answer.limit());
              answer
                  .slowStartMillis()
                  .ifPresent(millis -> server.cold().stated(millis, clock.millis()));
              if (pending.decrementAndGet() == 0 && finished.compareAndSet(false, true)) {
                timeout.cancel();
                nextRound();
              }
            });
      }
    }
  }
}
