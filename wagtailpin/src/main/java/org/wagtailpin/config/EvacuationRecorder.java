package org.wagtailpin.config;

import java.util.Optional;
import java.util.TreeSet;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/** Writes an event when the evacuation of a failure domain begins or ends for this entry. */
public final class EvacuationRecorder implements ConfigListener {

  private final EventLog events;
  private TreeSet<String> evacuated = new TreeSet<>();

  /**
   * Creates a recorder.
   *
   * @param events receives the events
   */
  public EvacuationRecorder(EventLog events) {
    this.events = events;
  }

  @Override
  public void configChanged(MergedConfig merged) {
    TreeSet<String> now = new TreeSet<>();
    for (VersionedObject object : merged.objects()) {
      if (object.id().kind() == ConfigKind.EVACUATION && object.value().isPresent()) {
        now.add(object.id().name());
        if (!evacuated.contains(object.id().name())) {
          events.recordEvent(
              Event.of(EventKind.EVACUATION_BEGUN)
                  .with("failureDomain", object.id().name())
                  .with("revision", object.ticket()));
        }
      }
    }
    for (String domain : evacuated) {
      if (!now.contains(domain)) {
        Optional<VersionedObject> removal =
            merged.object(new ObjectId(ConfigKind.EVACUATION, domain));
        events.recordEvent(
            Event.of(EventKind.EVACUATION_ENDED)
                .with("failureDomain", domain)
                .with("revision", removal.map(VersionedObject::ticket).orElse(0L)));
      }
    }
    evacuated = now;
  }
}
