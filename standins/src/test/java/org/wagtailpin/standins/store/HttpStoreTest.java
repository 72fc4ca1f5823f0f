package org.wagtailpin.standins.store;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.store.HttpStore;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.StoreHttpClient;
import org.wagtailpin.store.StoreRevision;
import org.wagtailpin.store.StoreTimeouts;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;
import org.wagtailpin.store.memory.MemoryStore;
import org.wagtailpin.store.memory.StoreFaults;

class HttpStoreTest {

  private static final long SEED = 7;
  private static final StoreTimeouts TIMEOUTS = new StoreTimeouts(1000, 2000);
  private static final StoreTimeouts SHORT_TIMEOUTS = new StoreTimeouts(200, 200);

  private final StoreStandIn standIn =
      new StoreStandIn(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), SEED);
  private final StoreHttpClient http = new StoreHttpClient(TIMEOUTS);
  private HttpStore store;

  @BeforeEach
  void start() {
    standIn.start();
    store = new HttpStore(http.client(), standIn.address(), "test", TIMEOUTS);
  }

  @AfterEach
  void stop() {
    http.close();
    standIn.close();
  }

  private static <R> R await(CompletableFuture<R> future) {
    return future.orTimeout(30, TimeUnit.SECONDS).join();
  }

  private WriteResult write(String key, String value, WriteCondition condition) {
    return await(store.write(key, value.getBytes(UTF_8), condition, Optional.empty()));
  }

  private long writeAndGetRevision(String key, String value, WriteCondition condition) {
    return ((WriteResult.Written) write(key, value, condition)).revision();
  }

  private static String valueOf(StoreEntry entry) {
    return new String(entry.value(), UTF_8);
  }

  @Test
  void aValueIsReadAsItWasWritten() {
    long revision = writeAndGetRevision("a/b c?&", "väl\nue", new WriteCondition.Absent());

    ReadResult.Found found = (ReadResult.Found) await(store.read("a/b c?&"));
    assertThat(valueOf(found.entry())).isEqualTo("väl\nue");
    assertThat(found.entry().revision()).isEqualTo(revision);
    assertThat(found.entry().lease()).isEmpty();
    assertThat(await(store.read("a"))).isEqualTo(new ReadResult.Absent(revision));
  }

  @Test
  void aWriteAtAnOldRevisionConflictsAndNamesTheNewOne() {
    long first = writeAndGetRevision("k", "1", new WriteCondition.Absent());
    long second = writeAndGetRevision("k", "2", new WriteCondition.AtRevision(first));

    assertThat(write("k", "3", new WriteCondition.AtRevision(first)))
        .isEqualTo(new WriteResult.Conflict(second));
    assertThat(write("k", "3", new WriteCondition.Absent()))
        .isEqualTo(new WriteResult.Conflict(second));
    assertThat(await(store.delete("k", new WriteCondition.AtRevision(second))))
        .isInstanceOf(WriteResult.Written.class);
    assertThat(await(store.read("k"))).isInstanceOf(ReadResult.Absent.class);
  }

  @Test
  void theKeysOfAPrefixAreListedInOrder() {
    writeAndGetRevision("m/2", "two", new WriteCondition.Always());
    writeAndGetRevision("m/1", "one", new WriteCondition.Always());
    writeAndGetRevision("n/1", "other", new WriteCondition.Always());

    ListResult.Listed listed = (ListResult.Listed) await(store.list("m/"));
    assertThat(listed.entries().stream().map(HttpStoreTest::valueOf))
        .containsExactly("one", "two")
        .inOrder();
    assertThat(listed.storeRevision()).isEqualTo(3);
  }

  @Test
  void aKeyEndsWithItsLease() {
    LeaseResult.Held held = (LeaseResult.Held) await(store.grantLease(60_000));
    await(store.write("l", new byte[] {1}, new WriteCondition.Absent(), Optional.of(held.lease())));
    ReadResult.Found found = (ReadResult.Found) await(store.read("l"));

    assertThat(found.entry().lease()).hasValue(held.lease());
    assertThat(await(store.renewLease(held.lease()))).isEqualTo(held);
    assertThat(await(store.revokeLease(held.lease()))).isEqualTo(new LeaseResult.Lapsed());
    assertThat(await(store.read("l"))).isInstanceOf(ReadResult.Absent.class);
    assertThat(await(store.renewLease(held.lease()))).isEqualTo(new LeaseResult.Lapsed());
  }

  @Test
  void aWatchIsAnsweredByTheChangeItWaitsFor() {
    long revision = writeAndGetRevision("w/1", "one", new WriteCondition.Always());
    CompletableFuture<WatchResult> watch = store.watch("w/", revision, 30_000);
    writeAndGetRevision("x", "elsewhere", new WriteCondition.Always());
    assertThat(watch.isDone()).isFalse();

    long changed = writeAndGetRevision("w/2", "two", new WriteCondition.Always());

    WatchResult.Changed result = (WatchResult.Changed) await(watch);
    assertThat(result.changes()).hasSize(1);
    assertThat(valueOf(result.changes().get(0).entry().get())).isEqualTo("two");
    assertThat(result.storeRevision()).isEqualTo(changed);
  }

  @Test
  void aWatchThatSeesNothingEndsWithNoChange() {
    assertThat(await(store.watch("w/", 0, 20))).isEqualTo(new WatchResult.Changed(List.of(), 0));
  }

  @Test
  void aDeletionIsReportedToAWatch() {
    long revision = writeAndGetRevision("w/1", "one", new WriteCondition.Always());
    await(store.delete("w/1", new WriteCondition.Always()));

    WatchResult.Changed result = (WatchResult.Changed) await(store.watch("w/", revision, 0));
    assertThat(result.changes().get(0).entry()).isEmpty();
  }

  @Test
  void aValueAboveTheLimitIsRefusedWithProof() {
    byte[] large = new byte[MemoryStore.MAX_VALUE_BYTES + 1];

    assertThat(await(store.write("k", large, new WriteCondition.Always(), Optional.empty())))
        .isInstanceOf(WriteResult.NotWritten.class);
  }

  @Test
  void aRefusedConnectionProvesThatNothingWasWritten() throws IOException {
    URI closed;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closed = URI.create("http://127.0.0.1:" + socket.getLocalPort());
    }
    HttpStore unreachable = new HttpStore(http.client(), closed, "test", TIMEOUTS);

    assertThat(
            await(
                unreachable.write(
                    "k", new byte[] {1}, new WriteCondition.Always(), Optional.empty())))
        .isInstanceOf(WriteResult.NotWritten.class);
    assertThat(await(unreachable.read("k"))).isInstanceOf(ReadResult.Failed.class);
  }

  @Test
  void aDroppedConnectionLeavesAWriteUnknown() {
    standIn.changeFaults(StoreFaults.builder().down(true).build());

    WriteResult result = write("k", "1", new WriteCondition.Always());

    assertThat(result).isInstanceOf(WriteResult.Unknown.class);
    assertThat(((WriteResult.Unknown) result).fault().toString()).contains("write-store at store");
  }

  @Test
  void aWriteWhoseAnswerIsLostIsUnknownAndTookEffectOnce() {
    standIn.changeFaults(StoreFaults.builder().lostAnswers(1).build());
    HttpStore shortTimeoutStore =
        new HttpStore(http.client(), standIn.address(), "test", SHORT_TIMEOUTS);
    WriteResult result =
        await(
            shortTimeoutStore.write(
                "k", new byte[] {1}, new WriteCondition.Always(), Optional.empty()));
    standIn.changeFaults(StoreFaults.none());

    assertThat(result).isInstanceOf(WriteResult.Unknown.class);
    ReadResult.Found found = (ReadResult.Found) await(store.read("k"));
    // One revision was assigned and one write counted, so the client did not retry the write.
    assertThat(found.storeRevision()).isEqualTo(1);
    assertThat(standIn.counts().of(CallCounts.Kind.WRITE)).isEqualTo(1);
  }

  @Test
  void onlyThePartitionedClientIsCutOff() {
    standIn.changeFaults(StoreFaults.builder().partition(Set.of("cut")).build());
    HttpStore partitionedStore =
        new HttpStore(http.client(), standIn.address(), "cut", SHORT_TIMEOUTS);

    assertThat(await(partitionedStore.read("k"))).isInstanceOf(ReadResult.Failed.class);
    assertThat(await(store.read("k"))).isInstanceOf(ReadResult.Absent.class);
  }

  @Test
  void theKeysOutliveAnOutage() {
    writeAndGetRevision("k", "kept", new WriteCondition.Always());
    standIn.stop();
    assertThat(write("k", "lost", new WriteCondition.Always()))
        .isNotInstanceOf(WriteResult.Written.class);
    standIn.start();

    ReadResult.Found found = (ReadResult.Found) await(store.read("k"));
    assertThat(valueOf(found.entry())).isEqualTo("kept");
  }

  @Test
  void aRestoredStoreAnswersWithTheCopyAndTheNextEra() {
    writeAndGetRevision("k", "old", new WriteCondition.Absent());
    standIn.copy();
    long lost = writeAndGetRevision("k", "new", new WriteCondition.Always());
    CompletableFuture<WatchResult> waiting = store.watch("", lost, 20_000);
    standIn.restore();

    assertThat(await(waiting)).isInstanceOf(WatchResult.Compacted.class);
    ReadResult.Found found = (ReadResult.Found) await(store.read("k"));
    assertThat(valueOf(found.entry())).isEqualTo("old");
    assertThat(found.entry().revision()).isEqualTo(StoreRevision.of(1, 1));
    ListResult.Listed listed = (ListResult.Listed) await(store.list(""));
    assertThat(listed.storeRevision()).isEqualTo(found.storeRevision());

    long next =
        writeAndGetRevision(
            "k", "next", new WriteCondition.AtRevision(listed.entries().get(0).revision()));
    assertThat(next).isEqualTo(StoreRevision.of(1, 2));
    WatchResult.Changed changed =
        (WatchResult.Changed) await(store.watch("", listed.storeRevision(), 1_000));
    assertThat(changed.changes().get(0).revision()).isEqualTo(next);
    LeaseResult.Held held = (LeaseResult.Held) await(store.grantLease(1_000));
    assertThat(held.lease().era()).isEqualTo(1);
    assertThat(await(store.renewLease(held.lease()))).isEqualTo(held);
  }
}
