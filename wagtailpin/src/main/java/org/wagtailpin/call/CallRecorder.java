package org.wagtailpin.call;

import java.util.Optional;
import org.wagtailpin.error.Fault;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.RetryDecision;

/** Writes the events and metrics of one call. Confined to the call's event loop. */
final class CallRecorder {

  private final EventLog events;
  private final CallMetrics metrics;
  private final CallDescriptor call;

  CallRecorder(EventLog events, CallMetrics metrics, CallDescriptor call) {
    this.events = events;
    this.metrics = metrics;
    this.call = call;
  }

  /**
   * Records the admission of the call.
   *
   * @param remainingMillis the time until the deadline set by the caller and the route, in
   *     milliseconds
   * @param snapshotVersion the version of the configuration snapshot that supplied the route
   */
  void admitted(long remainingMillis, long snapshotVersion) {
    events.begin(call.requestId());
    events.recordEvent(
        event(EventKind.ADMITTED)
            .with("route", call.route().name())
            .with("service", call.route().service())
            .with("deadlineMillis", remainingMillis)
            .with("snapshot", snapshotVersion));
  }

  void attemptEnded(Attempt attempt, int number, AttemptOutcome outcome, double latencyMillis) {
    String label = AttemptLabels.label(outcome);
    metrics.attemptEnded(call.route().service(), label, latencyMillis);
    events.recordEvent(
        event(EventKind.ATTEMPT)
            .with("route", call.route().name())
            .with("service", call.route().service())
            .with("server", attempt.grant().server().name())
            .with("attempt", number)
            .with("outcome", label)
            .with("status", attempt.status())
            .with("detail", AttemptLabels.detail(outcome))
            .with("latencyMillis", latencyMillis));
  }

  /** Records the decision whether a failed attempt is followed by another one. */
  void recordRetryDecision(int attempts, RetryDecision decision) {
    metrics.retryDecided(call.route().service(), decision.rule());
    Event event =
        event(decision.retry() ? EventKind.REPEATED : EventKind.NOT_REPEATED)
            .with("attempt", attempts)
            .with("rule", decision.rule());
    events.recordEvent(
        decision.retry() ? event.with("delayMillis", decision.delayMillis()) : event);
  }

  void ended(CallEnd end, double latencyMillis) {
    metrics.callEnded(call, end.outcome(), latencyMillis);
    Event event =
        event(EventKind.ENDED)
            .with("route", call.route().name())
            .with("service", call.route().service())
            .with("outcome", end.outcome())
            .with("status", end.status())
            .with("latencyMillis", latencyMillis);
    end.fault().ifPresent(fault -> addFault(event, fault));
    end.retryAfterMillis().ifPresent(millis -> event.with("retryAfterMillis", millis));
    events.recordEvent(event);
    events.end(call.requestId(), end.failed());
  }

  /** Records a request that was answered with a problem before it became a call. */
  static void recordUnreadRequest(EventLog events, Optional<String> request, Problem problem) {
    Event event =
        request
            .map(id -> Event.of(EventKind.UNREAD, id))
            .orElseGet(() -> Event.of(EventKind.UNREAD))
            .with("status", problem.status())
            .with("step", problem.fault().step().label())
            .with("detail", problem.fault().detail());
    events.recordEvent(event);
  }

  private static void addFault(Event event, Fault fault) {
    event
        .with("step", fault.step().label())
        .with("peer", fault.peerName().isEmpty() ? fault.peer().label() : fault.peerName())
        .with("detail", fault.detail());
  }

  private Event event(EventKind kind) {
    return Event.of(kind, call.requestId());
  }
}
