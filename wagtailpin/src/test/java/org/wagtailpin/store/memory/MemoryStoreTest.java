package org.wagtailpin.store.memory;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

class MemoryStoreTest {

  private static final WriteCondition ALWAYS = new WriteCondition.Always();
  private static final byte[] VALUE = "v".getBytes(UTF_8);

  private final ManualClock clock = new ManualClock(0);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final MemoryStore store = new MemoryStore(clock, loop);

  @Test
  void oneOfTwoWritersAtTheSameRevisionConflicts() {
    store.write("k", VALUE, ALWAYS, Optional.empty()).join();

    WriteResult first =
        store.write("k", VALUE, new WriteCondition.AtRevision(1), Optional.empty()).join();
    WriteResult second =
        store.write("k", VALUE, new WriteCondition.AtRevision(1), Optional.empty()).join();

    assertThat(first).isEqualTo(new WriteResult.Written(2));
    assertThat(second).isEqualTo(new WriteResult.Conflict(2));
  }

  @Test
  void aLapsedLeaseDeletesItsKeysAndNotifiesWatches() {
    LeaseId lease = ((LeaseResult.Held) store.grantLease(500).join()).lease();
    store.write("k", VALUE, ALWAYS, Optional.of(lease)).join();
    CompletableFuture<WatchResult> watch = store.watch("k", 1, 10_000);

    loop.advance(499);
    assertThat(watch.isDone()).isFalse();
    loop.advance(1);

    assertThat(((WatchResult.Changed) watch.join()).changes().get(0).entry()).isEmpty();
    assertThat(store.read("k").join()).isInstanceOf(ReadResult.Absent.class);
    assertThat(store.renewLease(lease).join()).isInstanceOf(LeaseResult.Lapsed.class);
  }

  @Test
  void aWatchWithoutChangesEndsAtItsWaitTime() {
    CompletableFuture<WatchResult> watch = store.watch("k", 0, 100);

    loop.advance(100);

    assertThat(((WatchResult.Changed) watch.join()).changes()).isEmpty();
  }
}
