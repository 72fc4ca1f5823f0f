package org.wagtailpin.registry;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.routing.SharedRandom;
import org.wagtailpin.store.EraOrderedStore;
import org.wagtailpin.store.StoreRevision;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.memory.MemoryStore;
import org.wagtailpin.store.memory.StoreFaults;

/** Hosts that watch a store while it is restored from an older copy. */
class StoreRestoreTest {

  private static final long SHORT_WAIT_MILLIS = 1_000;
  private static final long GRACE_MILLIS = StoreAvailability.REREGISTRATION_GRACE_MILLIS;

  private final ManualClock clock = new ManualClock(1_000_000);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final MemoryStore store = new MemoryStore(clock, loop);
  private final FaultyStore faulty = new FaultyStore(store, clock, loop, 1, 500);
  private final Host host = new Host("a");

  /** A host that watches the store. */
  private final class Host implements EventLog {
    private final List<String> events = new ArrayList<>();
    private final PublishedConfig published = new PublishedConfig();
    private final ConfigMerger merger = new ConfigMerger(clock, new MergedConfig(), published);
    private final RegistryWatcher watcher;

    Host(String name) {
      watcher =
          new RegistryWatcher(
              new EraOrderedStore(faulty.client(name)),
              loop,
              clock,
              merger,
              new SharedRandom(2),
              new TestRegistryFormat(),
              0,
              this);
      watcher.start();
      loop.advance(SHORT_WAIT_MILLIS);
    }

    @Override
    public void begin(String request) {}

    @Override
    public void end(String request, boolean failed) {}

    @Override
    public void recordEvent(Event event) {
      events.add(event.kind().label());
    }

    String document() {
      return published.current().services().stream()
          .map(ConfigService::name)
          .collect(Collectors.joining());
    }

    Set<String> servers() {
      return published.current().servers("work").stream()
          .map(ConfigServer::name)
          .collect(Collectors.toSet());
    }

    long sequence(String server) {
      return published.current().servers("work").stream()
          .filter(each -> each.name().equals(server))
          .mapToLong(ConfigServer::sequence)
          .sum();
    }

    /** Receives what this host lacks of another one's states, as by a pull. */
    void pull(Host other) {
      merger.mergeFromPeer(
          other
              .merger
              .merged()
              .newerThan(
                  merger.merged().objects().stream()
                      .collect(Collectors.toMap(VersionedObject::id, VersionedObject::ticket))),
          "other");
    }
  }

  private void put(String key, String value) {
    store.write(
        key, value.getBytes(StandardCharsets.UTF_8), new WriteCondition.Always(), Optional.empty());
    loop.advance(SHORT_WAIT_MILLIS);
  }

  private void document(String value) {
    put(TestRegistryFormat.DOCUMENT, value);
  }

  private void register(String server, long sequence) {
    put(TestRegistryFormat.SERVERS + server, "staying 7 " + sequence);
  }

  private void restore(MemoryStore.Copy copy) {
    faulty.restore(copy);
    loop.advance(SHORT_WAIT_MILLIS);
  }

  @Test
  void anOlderDocumentOfTheCopyDoesNotReplaceTheOneInForce() {
    document("old 1");
    MemoryStore.Copy copy = store.copy();
    document("new 2");

    restore(copy);
    assertThat(host.document()).isEqualTo("new");

    document("older 1");
    document("same 2");
    assertThat(host.document()).isEqualTo("new");

    document("next 3");
    assertThat(host.document()).isEqualTo("next");
    assertThat(host.events).contains("store-era-changed");
    assertThat(host.events).contains("config-held");
  }

  // Guards against revisions that are given out again and so hide what the operator writes.
  @Test
  void aDocumentWithAReusedRevisionComesIntoForce() {
    document("old 1");
    MemoryStore.Copy copy = store.copy();
    document("new 2");
    restore(copy);

    document("next 3");

    assertThat(StoreRevision.bare(host.merger.merged().highestTicket())).isEqualTo(2);
    assertThat(host.document()).isEqualTo("next");
  }

  @Test
  void aDocumentThatTheCopyLacksStaysInForceUntilTheOperatorWrites() {
    MemoryStore.Copy copy = store.copy();
    document("new 2");

    restore(copy);
    loop.advance(10 * GRACE_MILLIS);
    assertThat(host.document()).isEqualTo("new");

    document("next 3");
    assertThat(host.document()).isEqualTo("next");
  }

  @Test
  void aServerThatRegistersAgainStaysAndAnotherIsGoneAfterTheGrace() {
    MemoryStore.Copy copy = store.copy();
    register("a", 4);
    register("b", 4);

    restore(copy);
    assertThat(host.servers()).containsExactly("a", "b");

    register("a", 5);
    loop.advance(GRACE_MILLIS);
    assertThat(host.servers()).containsExactly("a");
    assertThat(host.sequence("a")).isEqualTo(5);
  }

  // Guards against a server that writes its registration unchanged, and is removed for good.
  @Test
  void aServerThatRegistersAgainWithoutAChangeStays() {
    MemoryStore.Copy copy = store.copy();
    register("a", 4);

    restore(copy);
    register("a", 4);
    loop.advance(10 * GRACE_MILLIS);

    assertThat(host.servers()).containsExactly("a");
  }

  @Test
  void anOlderRegistrationOfTheCopyReplacesNoLaterOne() {
    register("a", 4);
    MemoryStore.Copy copy = store.copy();
    register("a", 9);

    restore(copy);
    assertThat(host.sequence("a")).isEqualTo(9);

    register("a", 10);
    assertThat(host.sequence("a")).isEqualTo(10);
  }

  @Test
  void aServerThatWasRemovedAfterTheCopyDoesNotComeBackWithIt() {
    register("a", 4);
    MemoryStore.Copy copy = store.copy();
    store.delete(TestRegistryFormat.SERVERS + "a", new WriteCondition.Always());
    loop.advance(SHORT_WAIT_MILLIS);

    restore(copy);
    assertThat(host.servers()).isEmpty();

    register("a", 5);
    assertThat(host.servers()).containsExactly("a");
  }

  @Test
  void aHostThatStartsAfterTheRestoreLearnsTheLaterStatesFromANeighbour() {
    document("old 1");
    register("a", 4);
    MemoryStore.Copy copy = store.copy();
    document("new 2");
    register("a", 9);
    restore(copy);
    Host started = new Host("started");
    assertThat(started.document()).isEqualTo("old");

    started.pull(host);
    host.pull(started);

    assertThat(started.document()).isEqualTo("new");
    assertThat(started.sequence("a")).isEqualTo(9);
    assertThat(host.document()).isEqualTo("new");
    assertThat(started.merger.merged().digest()).isEqualTo(host.merger.merged().digest());
  }

  @Test
  void aDocumentThatTheCopyLacksReachesAHostThatStartsLater() {
    MemoryStore.Copy copy = store.copy();
    document("new 2");
    restore(copy);
    Host started = new Host("started");
    loop.advance(10 * GRACE_MILLIS);

    started.pull(host);
    host.pull(started);

    assertThat(started.document()).isEqualTo("new");
    assertThat(host.document()).isEqualTo("new");
  }

  // Guards against a host that lists the store between the restore and the registrations, and tells
  // the others that no server exists.
  @Test
  void aHostThatStartsWithinTheGraceDoesNotEndIt() {
    MemoryStore.Copy copy = store.copy();
    register("a", 4);
    restore(copy);
    Host started = new Host("started");

    host.pull(started);

    assertThat(host.servers()).containsExactly("a");
  }

  @Test
  void aHostThatWasCutOffAcrossTheRestoreBringsNothingBack() {
    document("old 1");
    register("a", 4);
    MemoryStore.Copy copy = store.copy();
    document("new 2");
    register("b", 4);
    Host cut = new Host("cut");
    faulty.changeFaults(StoreFaults.builder().partition(Set.of("cut")).build());
    restore(copy);
    document("next 3");
    register("a", 5);
    loop.advance(GRACE_MILLIS);

    host.pull(cut);
    assertThat(host.servers()).containsExactly("a");
    assertThat(host.document()).isEqualTo("next");

    cut.pull(host);
    assertThat(cut.servers()).containsExactly("a");
    assertThat(cut.document()).isEqualTo("next");

    faulty.changeFaults(StoreFaults.none());
    loop.advance(60_000);
    assertThat(cut.servers()).containsExactly("a");
    assertThat(cut.merger.merged().digest()).isEqualTo(host.merger.merged().digest());
  }

  @Test
  void twoRestoresInARowTakeNothingBack() {
    document("old 1");
    MemoryStore.Copy first = store.copy();
    document("new 2");
    register("a", 4);
    faulty.restore(first);
    faulty.restore(first);
    loop.advance(SHORT_WAIT_MILLIS);
    assertThat(host.document()).isEqualTo("new");
    assertThat(host.servers()).containsExactly("a");

    document("next 3");
    restore(first);
    register("a", 5);
    loop.advance(GRACE_MILLIS);

    assertThat(host.document()).isEqualTo("next");
    assertThat(host.servers()).containsExactly("a");
    document("last 4");
    assertThat(host.document()).isEqualTo("last");
  }

  @Test
  void aStoreThatWasNeverRestoredIsFollowedByItsRevisionsAlone() {
    document("new 2");
    document("old 1");

    assertThat(host.document()).isEqualTo("old");
    assertThat(host.events).doesNotContain(EventKind.STORE_ERA_CHANGED.label());
  }
}
