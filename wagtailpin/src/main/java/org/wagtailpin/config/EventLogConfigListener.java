package org.wagtailpin.config;

import java.util.function.Supplier;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/**
 * Writes an event for each configuration that becomes active, whatever its origin.
 *
 * <p>Called on the control thread.
 */
public final class EventLogConfigListener implements ConfigListener {

  private final EventLog events;
  private final Supplier<ConfigOrigin> origin;
  private long highestRevision;

  /**
   * Creates a listener.
   *
   * @param events receives the events
   * @param origin supplies the origin of the newest state
   */
  public EventLogConfigListener(EventLog events, Supplier<ConfigOrigin> origin) {
    this.events = events;
    this.origin = origin;
  }

  @Override
  public void configChanged(MergedConfig merged) {
    long revision =
        merged.objects().stream()
            .filter(object -> isConfiguration(object.id().kind()))
            .mapToLong(VersionedObject::ticket)
            .max()
            .orElse(0);
    if (revision > highestRevision) {
      highestRevision = revision;
      events.recordEvent(
          Event.of(EventKind.CONFIG_TAKEN)
              .with("revision", revision)
              .with("source", origin.get().source().label())
              .with("peer", origin.get().peerName()));
    }
  }

  /** Server sets change without an operator and have events of their own. */
  private static boolean isConfiguration(ConfigKind kind) {
    return kind != ConfigKind.SERVER_SET && kind != ConfigKind.TICKET_FLOOR;
  }
}
