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
  private final ManualClock clock = new ManualClock(1_000);
  private final ConfigMerger merger =
      new ConfigMerger(clock, new MergedConfig(), new PublishedConfig());
  private Optional<StateConfirmation> confirmation = Optional.empty();
  private final EventLogConfigListener listener =
      new EventLogConfigListener(events, merger::origin, () -> confirmation, clock);

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
    merger.addListener(listener);

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
    merger.addListener(listener);

    merger.mergeFromStore(List.of(service(7)));
    merger.mergeFromStore(List.of(servers(12)));

    assertThat(taken()).hasSize(1);
  }

  @Test
  void aConfigurationIsLoggedWithTheOneBeforeAndTheAgeOfTheLastConfirmation() {
    merger.addListener(listener);

    merger.mergeFromPeer(List.of(service(7)), "e2");
    confirmation = Optional.of(new StateConfirmation("e2", clock.millis()));
    clock.advance(250);
    merger.mergeFromPeer(List.of(service(9)), "e2");

    assertThat(taken().get(0).value("before")).isEqualTo(Optional.of(0L));
    assertThat(taken().get(0).value("confirmedBy")).isEmpty();
    assertThat(taken().get(1).value("before")).isEqualTo(Optional.of(7L));
    assertThat(taken().get(1).value("confirmedBy")).isEqualTo(Optional.of("e2"));
    assertThat(taken().get(1).value("confirmedMillis")).isEqualTo(Optional.of(250L));
  }

  @Test
  void theConfigurationInForceHasTheTimeOfItsOwnRevision() {
    merger.addListener(listener);

    clock.advance(100);
    merger.mergeFromStore(List.of(service(7)));
    long takenMillis = clock.millis();
    clock.advance(100);
    merger.mergeFromStore(List.of(servers(12)));

    assertThat(listener.inForce()).isEqualTo(new ConfigInForce(7, takenMillis));
  }
}
