package org.wagtailpin.registry;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.eventlog.NoOpEventLog;
import org.wagtailpin.routing.SharedRandom;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.memory.MemoryStore;
import org.wagtailpin.store.memory.StoreFaults;

class RegistryWatcherTest {

  private static final long BATCH_MILLIS = 400;
  private static final long SHORT_WAIT_MILLIS = 1_000;
  private static final long LONG_WAIT_MILLIS = 60_000;

  private final ManualClock clock = new ManualClock(1_000_000);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final MemoryStore store = new MemoryStore(clock, loop);
  private final FaultyStore faulty = new FaultyStore(store, clock, loop, 1, 500);
  private final PublishedConfig published = new PublishedConfig();
  private final ConfigMerger merger = new ConfigMerger(clock, new MergedConfig(), published);
  private RegistryWatcher watcher;

  @BeforeEach
  void start() {
    Store client = faulty.client("entry");
    watcher =
        new RegistryWatcher(
            client,
            loop,
            clock,
            merger,
            new SharedRandom(2),
            new TestRegistryFormat(),
            BATCH_MILLIS,
            new NoOpEventLog());
    watcher.start();
    loop.advance(SHORT_WAIT_MILLIS);
  }

  private void put(String key, String value) {
    store.write(
        key, value.getBytes(StandardCharsets.UTF_8), new WriteCondition.Always(), Optional.empty());
  }

  private void remove(String key) {
    store.delete(key, new WriteCondition.Always());
  }

  private void register(String name, String value) {
    put(TestRegistryFormat.SERVERS + name, value);
    loop.advance(SHORT_WAIT_MILLIS);
  }

  private Optional<ConfigServer> server(String name) {
    return published.current().servers("work").stream()
        .filter(server -> server.name().equals(name))
        .findFirst();
  }

  private void isolateFromStore() {
    faulty.changeFaults(StoreFaults.builder().partition(Set.of("entry")).build());
    watcher.storeReachabilityChanged(false);
    loop.advance(LONG_WAIT_MILLIS);
  }

  private void restoreStore() {
    faulty.changeFaults(StoreFaults.none());
    watcher.storeReachabilityChanged(true);
  }

  @Test
  void aServerIsKnownWhileItIsRegistered() {
    register("a", "staying 1 1");
    assertThat(server("a")).isPresent();

    register("a", "leaving 1 2");
    assertThat(server("a").orElseThrow().leaving()).isTrue();

    remove(TestRegistryFormat.SERVERS + "a");
    loop.advance(SHORT_WAIT_MILLIS);
    assertThat(server("a")).isEmpty();
  }

  @Test
  void theDocumentAndTheServersOfAListBecomeActiveTogether() {
    register("a", "staying 1 1");
    put(TestRegistryFormat.DOCUMENT, "work");
    PublishedConfig restarted = new PublishedConfig();
    ConfigMerger restartedMerger = new ConfigMerger(clock, new MergedConfig(), restarted);
    List<Integer> serversWithService = new ArrayList<>();
    restartedMerger.addListener(
        merged ->
            restarted
                .current()
                .service("work")
                .ifPresent(
                    known -> serversWithService.add(restarted.current().servers("work").size())));

    new RegistryWatcher(
            store,
            loop,
            clock,
            restartedMerger,
            new SharedRandom(4),
            new TestRegistryFormat(),
            BATCH_MILLIS,
            new NoOpEventLog())
        .start();
    loop.advance(SHORT_WAIT_MILLIS);

    assertThat(serversWithService).containsExactly(1);
  }

  @Test
  void aServerThatIsRemovedWithoutLeavingFirstIsGoneAtOnce() {
    register("a", "staying 1 1");

    remove(TestRegistryFormat.SERVERS + "a");
    loop.advance(SHORT_WAIT_MILLIS);

    assertThat(server("a")).isEmpty();
  }

  @Test
  void aRegistrationThatArrivesOutOfOrderIsIgnored() {
    register("a", "leaving 1 5");
    register("a", "staying 1 4");

    assertThat(server("a").orElseThrow().leaving()).isTrue();
  }

  @Test
  void aServerThatRestartsUnderItsNameIsNew() {
    register("a", "leaving 1 5");
    register("a", "staying 2 1");

    assertThat(server("a").orElseThrow().leaving()).isFalse();
    assertThat(server("a").orElseThrow().startedMillis()).isEqualTo(2);
  }

  @Test
  void anUnreadableRegistrationAddsNoServerAndAffectsNoOther() {
    register("a", "staying 1 1");
    register("b", "what is this thing");

    assertThat(server("a")).isPresent();
    assertThat(server("b")).isEmpty();
  }

  // Guards against a registration of another writer that ended the watch of the store, so that no
  // later change of the configuration or of a server came into force.
  @Test
  void aRegistrationOnWhichTheFormatThrowsHidesNoLaterChange() {
    register("a", "staying 1 1");
    register("b", "staying many 1");

    register("a", "leaving 1 2");
    put(TestRegistryFormat.DOCUMENT, "one");
    loop.advance(SHORT_WAIT_MILLIS);

    assertThat(server("a").orElseThrow().leaving()).isTrue();
    assertThat(server("b")).isEmpty();
    assertThat(published.current().service("one")).isPresent();
    assertThat(watcher.current()).isTrue();
  }

  // Guards against entries that did not get ready after a restart of all, as their first list held
  // a registration of another writer.
  @Test
  void aRegistrationOnWhichTheFormatThrowsHidesNoOtherInTheFirstList() {
    watcher.stop();
    put(TestRegistryFormat.SERVERS + "a", "staying many 1");
    put(TestRegistryFormat.SERVERS + "b", "staying 1 1");
    put(TestRegistryFormat.DOCUMENT, "one");

    watcher.start();
    loop.advance(SHORT_WAIT_MILLIS);

    assertThat(server("b")).isPresent();
    assertThat(published.current().service("one")).isPresent();
    assertThat(watcher.current()).isTrue();
  }

  @Test
  void aListenerThatThrowsHidesAChangeFromNoOther() {
    List<Long> digests = new ArrayList<>();
    merger.addListener(
        merged -> {
          throw new IllegalStateException("test");
        });
    merger.addListener(merged -> digests.add(merged.digest()));

    register("a", "staying 1 1");
    register("b", "staying 1 1");

    assertThat(digests).hasSize(2);
    assertThat(server("b")).isPresent();
  }

  @Test
  void serversMayRegisterAgainAfterAStoreOutage() {
    register("a", "staying 1 1");
    register("b", "staying 1 1");
    isolateFromStore();
    remove(TestRegistryFormat.SERVERS + "a");
    remove(TestRegistryFormat.SERVERS + "b");

    restoreStore();
    loop.advance(SHORT_WAIT_MILLIS);
    assertThat(server("a")).isPresent();
    assertThat(server("b")).isPresent();

    register("a", "staying 1 2");
    loop.advance(StoreAvailability.REREGISTRATION_GRACE_MILLIS);
    assertThat(server("a")).isPresent();
    assertThat(server("b")).isEmpty();
  }

  @Test
  void anInterruptionThatIsTooShortForARegistrationToLapseHoldsNoRemovalBack() {
    register("a", "staying 1 1");
    watcher.storeReachabilityChanged(false);
    remove(TestRegistryFormat.SERVERS + "a");
    loop.advance(SHORT_WAIT_MILLIS);
    watcher.storeReachabilityChanged(true);
    loop.advance(SHORT_WAIT_MILLIS);

    assertThat(server("a")).isEmpty();
  }

  @Test
  void aLeavingServerIsGoneAtOnceAlsoAfterAStoreOutage() {
    register("a", "leaving 1 1");
    isolateFromStore();
    remove(TestRegistryFormat.SERVERS + "a");

    restoreStore();
    loop.advance(SHORT_WAIT_MILLIS);

    assertThat(server("a")).isEmpty();
  }

  @Test
  void aDocumentReplacesTheEarlierOneAndAnUnreadableOneIsIgnored() {
    put(TestRegistryFormat.DOCUMENT, "one");
    loop.advance(SHORT_WAIT_MILLIS);
    assertThat(published.current().service("one")).isPresent();

    put(TestRegistryFormat.DOCUMENT, " ");
    loop.advance(SHORT_WAIT_MILLIS);
    assertThat(published.current().service("one")).isPresent();

    put(TestRegistryFormat.DOCUMENT, "two");
    loop.advance(SHORT_WAIT_MILLIS);
    assertThat(published.current().service("two")).isPresent();
    assertThat(published.current().service("one")).isEmpty();
  }

  @Test
  void changesBeforeAFailedWatchAreReadEvenIfTheNextWatchIsNotAnswered() {
    watcher.stop();
    StalledWatchStore stalledStore = new StalledWatchStore(faulty.client("other"));
    watcher =
        new RegistryWatcher(
            stalledStore,
            loop,
            clock,
            merger,
            new SharedRandom(3),
            new TestRegistryFormat(),
            BATCH_MILLIS,
            new NoOpEventLog());
    watcher.start();
    loop.advance(SHORT_WAIT_MILLIS);
    stalledStore.failPendingWatch();
    put(TestRegistryFormat.DOCUMENT, "one");
    loop.advance(SHORT_WAIT_MILLIS);

    assertThat(published.current().service("one")).isPresent();
  }

  @Test
  void aWatchThatIsNotAnsweredShowsHowLongItHasWaited() {
    watcher.stop();
    assertThat(watcher.phase().awaits()).isEqualTo(WatchPhase.Awaits.STOPPED);
    StalledWatchStore stalledStore = new StalledWatchStore(faulty.client("other"));
    watcher =
        new RegistryWatcher(
            stalledStore,
            loop,
            clock,
            merger,
            new SharedRandom(3),
            new TestRegistryFormat(),
            BATCH_MILLIS,
            new NoOpEventLog());
    watcher.start();
    loop.advance(SHORT_WAIT_MILLIS);
    stalledStore.failPendingWatch();
    loop.advance(SHORT_WAIT_MILLIS);
    WatchPhase unanswered = watcher.phase();
    loop.advance(SHORT_WAIT_MILLIS);

    assertThat(unanswered.awaits()).isEqualTo(WatchPhase.Awaits.WATCH);
    assertThat(watcher.phase()).isEqualTo(unanswered);
    assertThat(clock.millis() - unanswered.sinceMillis()).isAtLeast(SHORT_WAIT_MILLIS);
  }

  @Test
  void changesLostByCompactionAreReadAgain() {
    register("a", "staying 1 1");
    faulty.changeFaults(StoreFaults.builder().slowWatch(0, 1).build());
    put(TestRegistryFormat.SERVERS + "b", "staying 1 1");
    put(TestRegistryFormat.DOCUMENT, "one");
    loop.advance(SHORT_WAIT_MILLIS);
    faulty.changeFaults(StoreFaults.none());
    loop.advance(SHORT_WAIT_MILLIS);

    assertThat(server("b")).isPresent();
    assertThat(published.current().service("one")).isPresent();
  }
}
