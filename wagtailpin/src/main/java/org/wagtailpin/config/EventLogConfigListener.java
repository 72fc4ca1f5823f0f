package org.wagtailpin.config;

import java.util.Optional;
import java.util.function.Supplier;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.store.StoreRevision;

/**
 * Writes an event for each configuration that becomes active, whatever its origin, with the age of
 * the last confirmation that the entry's state was the store's.
 *
 * <p>Called on the control thread, except for {@link #inForce}.
 */
public final class EventLogConfigListener implements ConfigListener {

  private final EventLog events;
  private final Supplier<ConfigOrigin> origin;
  private final Supplier<Optional<StateConfirmation>> confirmation;
  private final Clock clock;
  private volatile ConfigInForce inForce;

  /**
   * Creates a listener.
   *
   * @param events receives the events
   * @param origin supplies the origin of the newest state
   * @param confirmation supplies the last confirmation of the entry's state, empty if there is none
   * @param clock measures its age
   */
  public EventLogConfigListener(
      EventLog events,
      Supplier<ConfigOrigin> origin,
      Supplier<Optional<StateConfirmation>> confirmation,
      Clock clock) {
    this.events = events;
    this.origin = origin;
    this.confirmation = confirmation;
    this.clock = clock;
    this.inForce = new ConfigInForce(0, clock.millis());
  }

  @Override
  public void configChanged(MergedConfig merged) {
    long revision =
        merged.objects().stream()
            .filter(object -> isConfiguration(object.id().kind()))
            .mapToLong(VersionedObject::ticket)
            .max()
            .orElse(0);
    // A later version of the content may come from an entry that holds it from an earlier era.
    if (revision > inForce.revision()
        || StoreRevision.era(revision) < StoreRevision.era(inForce.revision())) {
      events.recordEvent(taken(revision));
      inForce = new ConfigInForce(revision, clock.millis());
    }
  }

  private Event taken(long revision) {
    Event event =
        Event.of(EventKind.CONFIG_TAKEN)
            .with("revision", revision)
            .with("source", origin.get().source().label())
            .with("peer", origin.get().peerName())
            .with("before", inForce.revision());
    confirmation
        .get()
        .ifPresent(
            last ->
                event
                    .with("confirmedBy", last.by())
                    .with("confirmedMillis", clock.millis() - last.atMillis()));
    return event;
  }

  /** Returns the configuration in force. Thread-safe. */
  public ConfigInForce inForce() {
    return inForce;
  }

  /** Server sets change without an operator and have events of their own. */
  private static boolean isConfiguration(ConfigKind kind) {
    return kind != ConfigKind.SERVER_SET && kind != ConfigKind.TICKET_FLOOR;
  }
}
