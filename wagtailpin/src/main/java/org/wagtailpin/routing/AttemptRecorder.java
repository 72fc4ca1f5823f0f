package org.wagtailpin.routing;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.limits.RouteStatistics;

/**
 * Records the results of attempts: service times, failures, refusals and load reports. Ejects
 * servers that fail too often.
 */
final class AttemptRecorder {

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private final Clock clock;
  private final RouteStatistics statistics;
  private final PlacementObserver observer;
  private final RequestLimits limits;
  private final UnansweredRequests unanswered;
  private final HeldServers ejected;

  AttemptRecorder(
      Clock clock,
      RouteStatistics statistics,
      PlacementObserver observer,
      RequestLimits limits,
      UnansweredRequests unanswered,
      HeldServers ejected) {
    this.clock = clock;
    this.statistics = statistics;
    this.observer = observer;
    this.limits = limits;
    this.unanswered = unanswered;
    this.ejected = ejected;
  }

  /**
   * Records the result of an attempt that has ended.
   *
   * @param service the service
   * @param server the server
   * @param call the call
   * @param report the result of the attempt
   */
  void recordAttempt(
      ServiceState service, ServerState server, CallDescriptor call, AttemptReport report) {
    if (report.outcome() instanceof AttemptOutcome.NotSent) {
      return;
    }
    double now = clock.exactMillis();
    report.load().ifPresent(load -> recordLoad(service, server, load, now));
    limits.record(server, report.limit());
    unanswered.attemptEnded(service, server, call, report);
    String route = call.route().name();
    double expectedServiceMillis = statistics.expectedMillis(service.name(), route);
    // A passing slowdown of the server's machine, which the report states, does not count against
    // the server.
    double slowness = report.load().map(load -> Math.max(1, load.slowness())).orElse(1.0);
    double serviceMillis =
        Math.max(0, report.latencyMillis() - 2 * server.networkDelayMillis()) / slowness;
    double forgetMillis = service.view().settings().value(Tunable.FORGET_MILLIS);
    AttemptOutcome outcome = report.outcome();
    if (outcome instanceof AttemptOutcome.Answered answered) {
      if (report.load().isEmpty()) {
        service.recordNoLoad();
      }
      if (answered.status() >= MIN_SERVER_ERROR_STATUS) {
        recordFailure(service, server, now);
        return;
      }
      statistics.recordServiceTime(service.name(), route, serviceMillis);
      statistics.recordBytes(route, report.bytes());
      server.health().recordSuccess(serviceMillis, expectedServiceMillis, now, forgetMillis);
      report
          .load()
          .ifPresent(load -> checkReport(server, load, serviceMillis, expectedServiceMillis));
    } else if (outcome instanceof AttemptOutcome.NotRun) {
      recordRefusal(service, server);
    } else if (outcome instanceof AttemptOutcome.Unknown) {
      server.health().recordAbandoned(serviceMillis, expectedServiceMillis, now, forgetMillis);
      recordFailure(service, server, now);
    } else {
      server.health().recordAbandoned(serviceMillis, expectedServiceMillis, now, forgetMillis);
    }
  }

  private void recordLoad(ServiceState service, ServerState server, LoadReport load, double now) {
    service.recordLoad(server, load, now);
    if (load.leaving() != server.reportsLeaving()) {
      server.reportsLeaving(load.leaving());
      observer.serverChanged(
          server.server(), load.leaving() ? ServerChange.LEAVING : ServerChange.STAYING);
    }
  }

  private static void checkReport(
      ServerState server, LoadReport load, double serviceMillis, double expectedMillis) {
    if (load.inFlight() + load.queued() < server.server().slots()) {
      server.health().recordReportAccuracy(serviceMillis, expectedMillis);
    }
  }

  private void recordRefusal(ServiceState service, ServerState server) {
    double pauseMillis = service.view().settings().value(Tunable.REFUSAL_PAUSE_MILLIS);
    server.health().recordRefusal(clock.millis(), pauseMillis);
  }

  private void recordFailure(ServiceState service, ServerState server, double now) {
    RoutingSettings settings = service.view().settings();
    double forgetMillis = settings.value(Tunable.FORGET_MILLIS);
    server.health().recordFailure(now, forgetMillis);
    if (server.health().failureShare(now, forgetMillis)
        < settings.value(Tunable.EJECT_FAILURE_SHARE)) {
      return;
    }
    if (!server.health().isEjected(clock.millis()) && mayEject(service)) {
      long untilMillis = clock.millis() + (long) settings.value(Tunable.EJECT_MILLIS);
      server.health().eject(untilMillis);
      ejected.hold(server.server(), (double) untilMillis);
    }
  }

  private boolean mayEject(ServiceState service) {
    ServiceView view = service.view();
    int ejected = 0;
    for (int i = 0; i < view.size(); i++) {
      if (view.at(i).health().isEjected(clock.millis())) {
        ejected++;
      }
    }
    return ejected + 1 <= view.settings().value(Tunable.EJECT_MAX_SHARE) * view.size();
  }
}
