package org.wagtailpin.store;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Answers of several eras in any order; each call gets the next scripted answer. */
class EraOrderedStoreTest {

  private static final byte[] VALUE = {1};
  private static final long EARLIER = 900;
  private static final long LATER = StoreRevision.of(1, 5);

  private final Deque<Object> answers = new ArrayDeque<>();
  private final EraOrderedStore store =
      new EraOrderedStore(
          BrokenStore.answering(() -> CompletableFuture.completedFuture(answers.remove())));

  private ListResult list(long number) {
    answers.add(new ListResult.Listed(List.of(), number));
    return store.list("").join();
  }

  private WatchResult watch(long after, long number) {
    answers.add(new WatchResult.Changed(List.of(), number));
    return store.watch("", after, 0).join();
  }

  private WriteResult write(WriteCondition condition, long number) {
    answers.add(new WriteResult.Written(number));
    return store.write("k", VALUE, condition, Optional.empty()).join();
  }

  @Test
  void allRevisionsOfALaterEraAreAboveThoseOfEarlierOnes() {
    assertThat(StoreRevision.of(0, 7)).isEqualTo(7);
    assertThat(StoreRevision.of(1, 0)).isGreaterThan(StoreRevision.of(0, 9_999_999_999_999_999L));
    assertThat(StoreRevision.era(StoreRevision.of(StoreRevision.MAX_ERA, 3)))
        .isEqualTo(StoreRevision.MAX_ERA);
    assertThat(StoreRevision.bare(StoreRevision.of(4, 3))).isEqualTo(3);
    assertThrows(
        IllegalArgumentException.class, () -> StoreRevision.of(0, 10_000_000_000_000_000L));
    assertThrows(
        IllegalArgumentException.class, () -> StoreRevision.of(StoreRevision.MAX_ERA + 1, 0));
  }

  @Test
  void anAnswerOfAnEarlierEraIsDiscarded() {
    assertThat(list(EARLIER)).isInstanceOf(ListResult.Listed.class);
    assertThat(list(LATER)).isInstanceOf(ListResult.Listed.class);

    assertThat(list(EARLIER)).isInstanceOf(ListResult.Failed.class);
    answers.add(new ReadResult.Absent(EARLIER));
    assertThat(store.read("k").join()).isInstanceOf(ReadResult.Failed.class);
    assertThat(watch(LATER, EARLIER)).isInstanceOf(WatchResult.Failed.class);
    assertThat(store.discardedAnswers()).isEqualTo(3);
  }

  @Test
  void anEarlierRevisionOfTheSameEraIsPassedOn() {
    list(LATER);

    assertThat(list(LATER - 1)).isInstanceOf(ListResult.Listed.class);
    assertThat(watch(LATER, LATER - 1)).isInstanceOf(WatchResult.Changed.class);
  }

  // Guards against a store that counts as lost because a replica answers stale reads from before.
  @Test
  void aStaleReadOfAnEarlierEraIsPassedOn() {
    list(LATER);
    answers.add(new ReadResult.Absent(EARLIER));

    assertThat(store.readStale("k", 100).join()).isEqualTo(new ReadResult.Absent(EARLIER));
  }

  @Test
  void aWatchFromAnEarlierEraIsCompacted() {
    assertThat(watch(EARLIER, LATER)).isEqualTo(new WatchResult.Compacted(LATER));
    assertThat(store.watch("", EARLIER, 0).join()).isInstanceOf(WatchResult.Compacted.class);
  }

  @Test
  void aWriteThatWasAcknowledgedInAnEarlierEraIsUnknown() {
    list(LATER);

    assertThat(write(new WriteCondition.Always(), EARLIER)).isInstanceOf(WriteResult.Unknown.class);
    assertThat(write(new WriteCondition.AtRevision(LATER), LATER + 1))
        .isEqualTo(new WriteResult.Written(LATER + 1));
  }

  @Test
  void aConditionOfAnEarlierEraDoesNotHold() {
    assertThat(write(new WriteCondition.AtRevision(EARLIER), LATER))
        .isInstanceOf(WriteResult.Unknown.class);

    assertThat(
            store
                .write("k", VALUE, new WriteCondition.AtRevision(EARLIER), Optional.empty())
                .join())
        .isInstanceOf(WriteResult.Conflict.class);
    assertThat(store.delete("k", new WriteCondition.AtRevision(EARLIER)).join())
        .isInstanceOf(WriteResult.Conflict.class);
  }

  @Test
  void aLeaseOfAnEarlierEraHasLapsed() {
    LeaseId lease = new LeaseId(7);
    answers.add(new LeaseResult.Held(new LeaseId(7, 1), 100));
    assertThat(store.renewLease(lease).join()).isInstanceOf(LeaseResult.Lapsed.class);

    assertThat(store.renewLease(lease).join()).isInstanceOf(LeaseResult.Lapsed.class);
    assertThat(store.write("k", VALUE, new WriteCondition.Always(), Optional.of(lease)).join())
        .isInstanceOf(WriteResult.NotWritten.class);
    answers.add(new LeaseResult.Held(lease, 100));
    assertThat(store.grantLease(100).join()).isInstanceOf(LeaseResult.Failed.class);
  }
}
