package org.wagtailpin.registry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.call.RecordingEventLog;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.EvacuationRecorder;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.entrypeer.generated.ConfigObjects;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.NoOpEventLog;
import org.wagtailpin.membership.ConfigObjectCodec;
import org.wagtailpin.routing.SharedRandom;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.memory.MemoryStore;

/** Tests that entries learn of the begin and end of evacuations on each path. */
class EvacuationWatchTest {

  private static final long BATCH_MILLIS = 400;
  private static final long WAIT_MILLIS = 1_000;
  private static final String KEY = TestRegistryFormat.EVACUATIONS + "zone-a";

  private final ManualClock clock = new ManualClock(1_000_000);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final MemoryStore store = new MemoryStore(clock, loop);
  private final PublishedConfig published = new PublishedConfig();
  private final ConfigMerger merger = new ConfigMerger(clock, new MergedConfig(), published);
  private final RecordingEventLog events = new RecordingEventLog();
  private final RegistryWatcher watcher =
      new RegistryWatcher(
          store,
          loop,
          clock,
          merger,
          new SharedRandom(2),
          new TestRegistryFormat(),
          BATCH_MILLIS,
          new NoOpEventLog());

  EvacuationWatchTest() {
    merger.addListener(new EvacuationRecorder(events));
  }

  private void begin() {
    store.write(KEY, new byte[] {'{', '}'}, new WriteCondition.Always(), Optional.empty());
  }

  private void end() {
    store.delete(KEY, new WriteCondition.Always());
  }

  private void start() {
    watcher.start();
    loop.advance(WAIT_MILLIS);
  }

  private Iterable<String> evacuated() {
    return published.current().evacuatedDomains();
  }

  @Test
  void theWatchTellsOfTheBeginAndTheEnd() {
    start();
    begin();
    loop.advance(WAIT_MILLIS);
    assertThat(evacuated()).containsExactly("zone-a");
    end();
    loop.advance(WAIT_MILLIS);
    assertThat(evacuated()).isEmpty();
    assertThat(events.of(EventKind.EVACUATION_BEGUN)).hasSize(1);
    assertThat(events.of(EventKind.EVACUATION_ENDED)).hasSize(1);
  }

  /** Guards against a domain that stays evacuated because its key was removed unwatched. */
  @Test
  void theListTellsOfTheBeginAndTheEnd() {
    begin();
    start();
    assertThat(evacuated()).containsExactly("zone-a");
    watcher.stop();
    end();
    loop.advance(WAIT_MILLIS);
    start();
    assertThat(evacuated()).isEmpty();
  }

  /** Guards against a follower that keeps an evacuation or revives one that has ended. */
  @Test
  void aFollowerTakesTheBeginAndTheEndFromItsWatcherAndNoOlderState() {
    start();
    begin();
    loop.advance(WAIT_MILLIS);
    PublishedConfig followed = new PublishedConfig();
    ConfigMerger follower = new ConfigMerger(clock, new MergedConfig(), followed);
    List<VersionedObject> begun = passOn();
    follower.mergeFromPeer(begun, "watcher");
    assertThat(followed.current().evacuatedDomains()).containsExactly("zone-a");

    end();
    loop.advance(WAIT_MILLIS);
    follower.mergeFromPeer(passOn(), "watcher");
    follower.mergeFromPeer(begun, "another");

    assertThat(followed.current().evacuatedDomains()).isEmpty();
  }

  /** Returns the watcher's states as another entry receives them. */
  private List<VersionedObject> passOn() {
    ConfigObjectCodec codec = new ConfigObjectCodec();
    ConfigObjects message = codec.encode(merger.merged().objects(), Integer.MAX_VALUE);
    return codec.decode("watcher", message.getObjectsList());
  }
}
