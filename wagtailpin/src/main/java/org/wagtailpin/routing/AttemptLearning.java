package org.wagtailpin.routing;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.RouteTimes;

/** Takes in how attempts went: times, failures, refusals, load reports and ejections. */
final class AttemptLearning {

  private static final int FIRST_SERVER_ERROR = 500;

  private final Clock clock;
  private final RouteTimes times;
  private final PlacementObserver observer;

  AttemptLearning(Clock clock, RouteTimes times, PlacementObserver observer) {
    this.clock = clock;
    this.times = times;
    this.observer = observer;
  }

  /**
   * Learns from an attempt whose slot has been given back.
   *
   * @param service the service
   * @param server the server
   * @param call the call
   * @param report how the attempt went
   */
  void learn(ServiceState service, ServerState server, CallDescriptor call, AttemptReport report) {
    double now = clock.exactMillis();
    report.load().ifPresent(load -> learnLoad(service, server, load, now));
    String route = call.route().name();
    double expected = times.expectedMillis(service.name(), route);
    // What the server's machine is slowed by for the moment says nothing of the server.
    double slowness = report.load().map(load -> Math.max(1, load.slowness())).orElse(1.0);
    double serviceMillis = Math.max(0, report.latencyMillis() - 2 * server.tripMillis()) / slowness;
    double forget = service.view().settings().of(Tunable.FORGET_MILLIS);
    AttemptOutcome outcome = report.outcome();
    if (outcome instanceof AttemptOutcome.Answered answered) {
      if (answered.status() >= FIRST_SERVER_ERROR) {
        failed(service, server, now);
        return;
      }
      times.learn(service.name(), route, serviceMillis);
      times.learnBytes(route, report.bytes());
      server.health().succeeded(serviceMillis, expected, now, forget);
      report.load().ifPresent(load -> checkClaim(server, load, serviceMillis, expected));
    } else if (outcome instanceof AttemptOutcome.NotRun) {
      refused(service, server);
    } else if (outcome instanceof AttemptOutcome.Unknown) {
      server.health().gaveUp(serviceMillis, expected, now, forget);
      failed(service, server, now);
    } else {
      server.health().gaveUp(serviceMillis, expected, now, forget);
    }
  }

  private void learnLoad(ServiceState service, ServerState server, LoadReport load, double now) {
    service.learnLoad(server, load, now);
    if (load.leaving() != server.saysLeaving()) {
      server.saysLeaving(load.leaving());
      observer.serverChanged(
          server.server(), load.leaving() ? ServerChange.LEAVING : ServerChange.STAYING);
    }
  }

  private static void checkClaim(
      ServerState server, LoadReport load, double serviceMillis, double expectedMillis) {
    if (load.inFlight() + load.queued() < server.server().slots()) {
      server.health().claimedFree(serviceMillis, expectedMillis);
    }
  }

  private void refused(ServiceState service, ServerState server) {
    double pause = service.view().settings().of(Tunable.REFUSAL_PAUSE_MILLIS);
    server.health().refused(clock.millis(), pause);
  }

  private void failed(ServiceState service, ServerState server, double now) {
    RoutingSettings settings = service.view().settings();
    double forget = settings.of(Tunable.FORGET_MILLIS);
    server.health().failed(now, forget);
    if (server.health().failureShare(now, forget) < settings.of(Tunable.EJECT_FAILURE_SHARE)) {
      return;
    }
    if (!server.health().ejected(clock.millis()) && mayEject(service)) {
      server.health().eject(clock.millis() + (long) settings.of(Tunable.EJECT_MILLIS));
      observer.serverChanged(server.server(), ServerChange.EJECTED);
    }
  }

  private boolean mayEject(ServiceState service) {
    ServiceView view = service.view();
    int ejected = 0;
    for (int i = 0; i < view.size(); i++) {
      if (view.at(i).health().ejected(clock.millis())) {
        ejected++;
      }
    }
    return ejected + 1 <= view.settings().of(Tunable.EJECT_MAX_SHARE) * view.size();
  }
}
