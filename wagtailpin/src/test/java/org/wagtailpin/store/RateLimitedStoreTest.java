package org.wagtailpin.store;

import static com.google.common.truth.Truth.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.store.memory.MemoryStore;

class RateLimitedStoreTest {

  private final ManualClock clock = new ManualClock(0);
  private final MemoryStore memory = new MemoryStore(clock, new ManualControlLoop(clock));
  private final RateLimitedStore store =
      new RateLimitedStore(memory, clock, new FixedStoreBudget(10, 2), new PrometheusRegistry());

  private WriteResult write() {
    return store.write("k", new byte[] {1}, new WriteCondition.Always(), Optional.empty()).join();
  }

  @Test
  void aWriteAboveTheBudgetIsNotSent() {
    assertThat(write()).isInstanceOf(WriteResult.Written.class);
    assertThat(write()).isInstanceOf(WriteResult.Written.class);

    assertThat(write()).isInstanceOf(WriteResult.NotWritten.class);
    assertThat(store.sent(StoreCallKind.WRITE)).isEqualTo(2);
    assertThat(store.heldBack(StoreCallKind.WRITE)).isEqualTo(1);
    assertThat(((ReadResult.Found) memory.read("k").join()).storeRevision()).isEqualTo(2);
  }

  @Test
  void theBudgetIsRefilledOverTime() {
    for (int second = 0; second < 5; second++) {
      assertThat(write()).isInstanceOf(WriteResult.Written.class);
      assertThat(write()).isInstanceOf(WriteResult.Written.class);
      assertThat(write()).isInstanceOf(WriteResult.NotWritten.class);
      clock.advance(1000);
    }
  }

  @Test
  void idleTimeAccumulatesAtMostOneSecondOfCalls() {
    write();
    clock.advance(3_600_000);
    int sent = 0;
    while (write() instanceof WriteResult.Written) {
      sent++;
    }

    assertThat(sent).isEqualTo(2);
  }

  @Test
  void readsAndWatchesShareABudgetAndWritesHaveTheirOwn() {
    for (int i = 0; i < 5; i++) {
      assertThat(store.read("k").join()).isInstanceOf(ReadResult.Absent.class);
      assertThat(store.watch("k", 0, 0).join()).isInstanceOf(WatchResult.Changed.class);
    }
    assertThat(store.read("k").join()).isInstanceOf(ReadResult.Failed.class);
    assertThat(store.watch("k", 0, 0).join()).isInstanceOf(WatchResult.Failed.class);
    assertThat(write()).isInstanceOf(WriteResult.Written.class);
  }

  @Test
  void aLeaseIsNeverHeldBack() {
    for (int i = 0; i < 100; i++) {
      assertThat(store.grantLease(1000).join()).isInstanceOf(LeaseResult.Held.class);
    }
    assertThat(store.sent(StoreCallKind.LEASE)).isEqualTo(100);
  }
}
