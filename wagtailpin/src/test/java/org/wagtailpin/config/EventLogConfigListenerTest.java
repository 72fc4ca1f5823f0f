package org.wagtailpin.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.call.RecordingEventLog;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;

class EventLogConfigListenerTest {

  private final RecordingEventLog events = new RecordingEventLog();
  private final ConfigMerger merger =
      new ConfigMerger(new ManualClock(0), new MergedConfig(), new PublishedConfig());

  private static VersionedObject service(long revision) {
    ConfigService service = new ConfigService("work", false, List.of(), Optional.empty());
    return new VersionedObject(service.id(), revision, Optional.of(service));
  }

  private static VersionedObject servers(long revision) {
    ConfigServerSet set = new ConfigServerSet("a", "work", List.of());
    return new VersionedObject(set.id(), revision, Optional.of(set));
  }

  private List<Event> taken() {
    return events.of(EventKind.CONFIG_TAKEN);
  }

  @Test
  void aConfigurationIsLoggedOnceWithItsFirstSource() {
    merger.addListener(new EventLogConfigListener(events, merger::origin));

    merger.mergeFromPeer(List.of(service(7)), "e2");
    merger.mergeFromStore(List.of(service(7)));
    merger.mergeFromStore(List.of(service(9)));

    assertThat(taken()).hasSize(2);
    assertThat(taken().get(0).value("source")).isEqualTo(Optional.of("peer"));
    assertThat(taken().get(0).value("peer")).isEqualTo(Optional.of("e2"));
    assertThat(taken().get(1).value("source")).isEqualTo(Optional.of("store"));
    assertThat(taken().get(1).value("revision")).isEqualTo(Optional.of(9L));
  }

  @Test
  void aChangeOfServersAloneIsNotLogged() {
    merger.addListener(new EventLogConfigListener(events, merger::origin));

    merger.mergeFromStore(List.of(service(7)));
    merger.mergeFromStore(List.of(servers(12)));

    assertThat(taken()).hasSize(1);
  }
}
