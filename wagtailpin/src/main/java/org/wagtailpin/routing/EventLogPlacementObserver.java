package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.limits.CustomerExcess;

/** Writes each decision, and each ejection and return of a server, to the event log. */
public final class EventLogPlacementObserver implements PlacementObserver {

  private final EventLog events;

  /**
   * Creates an observer.
   *
   * @param events the log to write to
   */
  public EventLogPlacementObserver(EventLog events) {
    this.events = events;
  }

  @Override
  public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {
    events.recordEvent(decision(EventKind.PLACED, call, reason).with("server", server.name()));
  }

  @Override
  public void refused(CallDescriptor call, Fault fault, PlacementReason reason) {
    Event refused =
        decision(EventKind.REFUSED, call, reason)
            .with("step", fault.step().label())
            .with("detail", fault.detail());
    events.recordEvent(
        reason.excess().map(excess -> withShare(refused, call, excess)).orElse(refused));
  }

  private static Event withShare(Event event, CallDescriptor call, CustomerExcess excess) {
    return event
        .with("customer", call.sharingGroup())
        .with("priority", call.priority())
        .with("offeredSlots", excess.offered())
        .with("shareSlots", excess.share())
        .with("domainSums", excess.domainSums())
        .with("sumsAgeMillis", excess.ageMillis());
  }

  private static Event decision(EventKind kind, CallDescriptor call, PlacementReason reason) {
    return Event.of(kind, call.requestId())
        .with("route", call.route().name())
        .with("service", call.route().service())
        .with("rule", reason.rule().label())
        .with("queuedMillis", reason.queuedMillis())
        .with("queueLength", reason.queueLength())
        .with("candidates", reason.candidates())
        .with("inFlight", reason.inFlight())
        .with("estimatedLoad", reason.estimatedLoad())
        .with("reportAgeMillis", reason.reportAgeMillis())
        .with("longWork", reason.longWork())
        .with("medianMillis", reason.medianMillis())
        .with("expectedMillis", reason.work().expectedMillis())
        .with("remainingMillis", reason.work().remainingMillis())
        .with("routeAnswers", reason.work().routeAnswers());
  }

  @Override
  public void serverChanged(ConfigServer server, ServerChange change) {
    switch (change) {
      case EJECTED -> events.recordEvent(changed(EventKind.SERVER_EJECTED, server));
      case RETURNED -> events.recordEvent(changed(EventKind.SERVER_RETURNED, server));
      case COLD -> events.recordEvent(changed(EventKind.SERVER_COLD, server));
      case WARM -> events.recordEvent(changed(EventKind.SERVER_WARM, server));
      case UNANSWERING -> events.recordEvent(changed(EventKind.SERVER_UNANSWERING, server));
      case ANSWERING -> events.recordEvent(changed(EventKind.SERVER_ANSWERING, server));
      case STATES_LEAVING -> events.recordEvent(changed(EventKind.SERVER_STATES_LEAVING, server));
      case PAUSED -> events.recordEvent(changed(EventKind.SERVER_PAUSED, server));
      case RESUMED -> events.recordEvent(changed(EventKind.SERVER_RESUMED, server));
      // Leaving and staying are logged where they are detected.
      case LEAVING, STAYING -> {}
      default -> throw new IllegalArgumentException("unknown change " + change);
    }
  }

  @Override
  public void limitChanged(ConfigServer server, Optional<Double> perSecond, double sharePerSecond) {
    if (perSecond.isPresent()) {
      events.recordEvent(
          changed(EventKind.SERVER_LIMITED, server)
              .with("perSecond", perSecond.get())
              .with("sharePerSecond", sharePerSecond));
    } else {
      events.recordEvent(changed(EventKind.SERVER_UNLIMITED, server));
    }
  }

  private static Event changed(EventKind kind, ConfigServer server) {
    return Event.of(kind).with("server", server.name());
  }
}
