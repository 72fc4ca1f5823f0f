package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreWatch;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.memory.MemoryStore;
import org.wagtailpin.store.memory.StoreFaults;

class StorePingTest {

  private static final long STEP_MILLIS = 200;
  private static final FleetTiming TIMING = FleetTiming.within(2_000, 1, false);

  private final ManualClock clock = new ManualClock(1_000_000);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final FaultyStore faulty =
      new FaultyStore(new MemoryStore(clock, loop), clock, loop, 1, 1_500);
  private final Store store = faulty.client("entry");
  private final RecordingWatch watch = new RecordingWatch();
  private final StorePing ping = new StorePing(store, watch, loop, clock, TIMING, () -> {});

  /** A watch that is current unless it was told that the store is lost. */
  private static final class RecordingWatch implements StoreWatch {
    private boolean current = true;

    @Override
    public void start() {}

    @Override
    public void stop() {}

    @Override
    public boolean running() {
      return true;
    }

    @Override
    public boolean current() {
      return current;
    }

    @Override
    public void storeReachabilityChanged(boolean reachable) {
      current = reachable;
    }

    @Override
    public void storeAnswered(long storeRevision) {}

    @Override
    public int missedChanges() {
      return 0;
    }

    @Override
    public long lastAnswerMillis() {
      return Long.MIN_VALUE / 2;
    }
  }

  private void advance(long millis) {
    for (long done = 0; done < millis; done += STEP_MILLIS) {
      ping.run();
      loop.advance(STEP_MILLIS);
    }
  }

  // Guards against followers of an entry that is cut from the store and does not say so: an answer
  // to its watch after a first failed test hid all further ones.
  @Test
  void aLossIsReportedAgainIfTheWatchWasAnsweredBetweenFailedTests() {
    advance(1_000);
    faulty.changeFaults(StoreFaults.builder().down(true).build());
    advance(2_000);
    assertThat(watch.current).isFalse();

    watch.current = true;
    advance(2_000);

    assertThat(watch.current).isFalse();
  }

  @Test
  void theReturnOfTheStoreIsReported() {
    faulty.changeFaults(StoreFaults.builder().down(true).build());
    advance(2_000);
    faulty.changeFaults(StoreFaults.builder().build());
    advance(1_000);

    assertThat(watch.current).isTrue();
  }
}
