package org.wagtailpin.registry;

import java.util.Optional;
import org.wagtailpin.config.ConfigDocument;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/** Records what a watcher read of registrations and the document, and what came of it. */
final class RegistryEvents {

  private final EventLog events;

  RegistryEvents(EventLog events) {
    this.events = events;
  }

  void documentRead(long version, long revision) {
    events.recordEvent(
        Event.of(EventKind.CONFIG_READ).with("config", version).with("revision", revision));
  }

  void documentRefused(long revision, String detail) {
    events.recordEvent(
        Event.of(EventKind.CONFIG_REFUSED).with("revision", revision).with("detail", detail));
  }

  /** Records that a document in force has a higher version than the one in a restored store. */
  void documentHeld(MergedConfig merged, long listedVersion, long listedRevision) {
    for (VersionedObject object : merged.objects()) {
      if (object.value().isPresent()
          && object.value().get() instanceof ConfigDocument held
          && held.version() > listedVersion) {
        events.recordEvent(
            Event.of(EventKind.CONFIG_HELD)
                .with("config", held.version())
                .with("revision", object.ticket())
                .with("listed", listedVersion)
                .with("listedRevision", listedRevision));
      }
    }
  }

  /** Records a registration of a restored store that is older than what is known of its server. */
  void registrationHeld(Optional<RegisteredServer> known, RegisteredServer listed, long revision) {
    events.recordEvent(
        Event.of(EventKind.REGISTRATION_HELD)
            .with("server", listed.server().name())
            .with("sequence", known.map(held -> held.server().sequence()).orElse(0L))
            .with("listed", listed.server().sequence())
            .with("revision", revision));
  }

  /** Records a server that is new, or that began or ceased to leave. */
  void serverChanged(RegisteredServer now, Optional<RegisteredServer> before, long revision) {
    ConfigServer server = now.server();
    if (before.isPresent() && before.get().server().leaving() == server.leaving()) {
      return;
    }
    Event event =
        Event.of(server.leaving() ? EventKind.SERVER_LEAVING : EventKind.SERVER_SEEN)
            .with("server", server.name())
            .with("service", now.service())
            .with("revision", revision);
    events.recordEvent(
        server.leaving() ? event : event.with("address", server.address() + ":" + server.port()));
  }

  void serverRefused(String name, long revision, String detail) {
    events.recordEvent(
        Event.of(EventKind.SERVER_REFUSED)
            .with("server", name)
            .with("revision", revision)
            .with("detail", detail));
  }

  void removalHeld(String name, long revision, long waitMillis) {
    events.recordEvent(
        Event.of(EventKind.SERVER_REMOVAL_HELD)
            .with("server", name)
            .with("revision", revision)
            .with("waitMillis", waitMillis));
  }

  void serverGone(String name, long revision) {
    events.recordEvent(
        Event.of(EventKind.SERVER_GONE).with("server", name).with("revision", revision));
  }

  void resultFailed(long revision, Throwable cause) {
    events.recordEvent(
        Event.of(EventKind.STORE_RESULT_FAILED)
            .with("revision", revision)
            .with("detail", cause.toString()));
  }
}
