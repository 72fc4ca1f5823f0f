package org.wagtailpin.store.memory;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

class FaultyStoreTest {

  private static final long TIMEOUT_MILLIS = 500;

  private final ManualClock clock = new ManualClock(0);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final MemoryStore memory = new MemoryStore(clock, loop);
  private final FaultyStore faulty = new FaultyStore(memory, clock, loop, 9, TIMEOUT_MILLIS);
  private final Store client = faulty.client("client");

  private CompletableFuture<WriteResult> write(String value) {
    return client.write("k", value.getBytes(UTF_8), new WriteCondition.Always(), Optional.empty());
  }

  private void send(String value) {
    CompletableFuture<WriteResult> unused = write(value);
    loop.runDue();
  }

  private static long revisionOf(ReadResult result) {
    return result instanceof ReadResult.Found found ? found.entry().revision() : 0;
  }

  @Test
  void withoutFaultsCallsAreAnsweredAtOnce() {
    CompletableFuture<WriteResult> result = write("a");
    loop.runDue();

    assertThat(result.join()).isEqualTo(new WriteResult.Written(1));
  }

  @Test
  void aLostAnswerIsUnknownAfterTheTimeoutAndTookEffect() {
    faulty.changeFaults(StoreFaults.builder().lostAnswers(1).build());
    CompletableFuture<WriteResult> result = write("a");
    loop.advance(TIMEOUT_MILLIS - 1);
    assertThat(result.isDone()).isFalse();
    loop.advance(1);

    assertThat(result.join()).isInstanceOf(WriteResult.Unknown.class);
    assertThat(revisionOf(memory.read("k").join())).isEqualTo(1);
  }

  @Test
  void aLostRequestIsUnknownAndHasNoEffect() {
    faulty.changeFaults(StoreFaults.builder().lostRequests(1).build());
    CompletableFuture<WriteResult> result = write("a");
    loop.advance(TIMEOUT_MILLIS);

    assertThat(result.join()).isInstanceOf(WriteResult.Unknown.class);
    assertThat(memory.read("k").join()).isEqualTo(new ReadResult.Absent(0));
  }

  @Test
  void aSlowWriteCanTakeEffectAfterItsClientGaveUp() {
    boolean late = false;
    faulty.changeFaults(StoreFaults.builder().delay(4 * TIMEOUT_MILLIS).build());
    for (int i = 0; i < 50 && !late; i++) {
      long before = revisionOf(memory.read("k").join());
      CompletableFuture<WriteResult> result = write("v" + i);
      loop.advance(TIMEOUT_MILLIS);
      boolean unknown = result.join() instanceof WriteResult.Unknown;
      boolean none = revisionOf(memory.read("k").join()) == before;
      loop.advance(4 * TIMEOUT_MILLIS);
      late = unknown && none && revisionOf(memory.read("k").join()) > before;
    }

    assertThat(late).isTrue();
  }

  @Test
  void aStoreThatIsDownRefusesCalls() {
    faulty.changeFaults(StoreFaults.builder().down(true).build());
    CompletableFuture<WriteResult> write = write("a");
    CompletableFuture<LeaseResult> lease = client.grantLease(1000);
    loop.runDue();

    assertThat(write.join()).isInstanceOf(WriteResult.NotWritten.class);
    assertThat(lease.join()).isInstanceOf(LeaseResult.Failed.class);
  }

  @Test
  void aStaleReadReturnsAnEarlierValueWithinTheMaximumAge() {
    send("a");
    loop.advance(1000);
    send("b");
    loop.advance(100);
    faulty.changeFaults(StoreFaults.builder().staleReads(1, 400).build());

    boolean old = false;
    for (int i = 0; i < 50; i++) {
      CompletableFuture<ReadResult> read = client.read("k");
      loop.runDue();
      ReadResult.Found found = (ReadResult.Found) read.join();
      // The store revision is as old as the value, so a watch from it misses no change.
      assertThat(found.storeRevision()).isEqualTo(found.entry().revision());
      old |= found.entry().revision() == 1;
    }
    assertThat(old).isTrue();
    loop.advance(400);
    CompletableFuture<ReadResult> read = client.read("k");
    loop.runDue();
    assertThat(revisionOf(read.join())).isEqualTo(2);
  }

  @Test
  void aStaleListOmitsKeysWrittenSince() {
    send("a");
    loop.advance(1000);
    CompletableFuture<WriteResult> second =
        client.write("k2", new byte[] {1}, new WriteCondition.Always(), Optional.empty());
    loop.advance(1);
    assertThat(second.join()).isInstanceOf(WriteResult.Written.class);
    faulty.changeFaults(StoreFaults.builder().staleReads(1, 1000).build());
    boolean lacks = false;
    for (int i = 0; i < 50; i++) {
      CompletableFuture<ListResult> list = client.list("k");
      loop.runDue();
      lacks |= ((ListResult.Listed) list.join()).entries().size() == 1;
    }

    assertThat(lacks).isTrue();
  }

  @Test
  void aSlowWatchReportsChangesLateOrAsCompacted() {
    faulty.changeFaults(StoreFaults.builder().slowWatch(700, 0).build());
    CompletableFuture<WatchResult> watch = client.watch("k", 0, 10_000);
    loop.advance(10);
    send("a");
    loop.advance(600);
    assertThat(watch.isDone()).isFalse();
    loop.advance(200);
    assertThat(((WatchResult.Changed) watch.join()).changes()).hasSize(1);

    faulty.changeFaults(StoreFaults.builder().slowWatch(0, 1).build());
    CompletableFuture<WatchResult> compacted = client.watch("k", 0, 10_000);
    loop.runDue();
    assertThat(compacted.join()).isEqualTo(new WatchResult.Compacted(1));
  }

  @Test
  void aPartitionAffectsOnlyItsClients() {
    faulty.changeFaults(StoreFaults.builder().partition(Set.of("client")).build());
    CompletableFuture<WriteResult> cut = write("a");
    CompletableFuture<ListResult> other = faulty.client("other").list("k");
    loop.advance(TIMEOUT_MILLIS);

    assertThat(cut.join()).isInstanceOf(WriteResult.Unknown.class);
    assertThat(other.join()).isEqualTo(new ListResult.Listed(List.of(), 0));
  }
}
