package org.wagtailpin.store;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.store.memory.MemoryStore;

class GuardedStoreTest {

  private static final long MAX_CALL_MILLIS = 5_000;
  private static final long WATCH_MILLIS = 20_000;

  private final ManualClock clock = new ManualClock(1_000_000);
  private final ManualControlLoop loop = new ManualControlLoop(clock);

  private List<CompletableFuture<?>> allCalls(Supplier<CompletableFuture<?>> answer) {
    Store store = new GuardedStore(BrokenStore.answering(answer), loop, MAX_CALL_MILLIS);
    List<CompletableFuture<?>> calls = new ArrayList<>();
    calls.add(store.read("k"));
    calls.add(store.readStale("k", 500));
    calls.add(store.list("k"));
    calls.add(store.write("k", new byte[0], new WriteCondition.Always(), Optional.empty()));
    calls.add(store.delete("k", new WriteCondition.Always()));
    calls.add(store.grantLease(500));
    calls.add(store.renewLease(new LeaseId(1)));
    calls.add(store.revokeLease(new LeaseId(1)));
    calls.add(store.watch("k", 1, WATCH_MILLIS));
    return calls;
  }

  private static void assertAllFailed(List<CompletableFuture<?>> calls) {
    for (int i = 0; i < calls.size(); i++) {
      assertWithMessage("call " + i).that(calls.get(i).isDone()).isTrue();
      Object result = calls.get(i).join();
      String type = result.getClass().getSimpleName();
      // Whether a write had an effect is not known after an exception.
      assertWithMessage("call " + i)
          .that(type)
          .isEqualTo(result instanceof WriteResult ? "Unknown" : "Failed");
    }
  }

  @Test
  void aCallThatThrowsIsAFailure() {
    assertAllFailed(
        allCalls(
            () -> {
              throw new IllegalStateException("test");
            }));
    assertAllFailed(
        allCalls(
            () -> {
              throw new LinkageError("test");
            }));
  }

  @Test
  void aCallThatEndsWithAnExceptionOrWithoutAResultIsAFailure() {
    assertAllFailed(
        allCalls(() -> CompletableFuture.failedFuture(new IllegalStateException("test"))));
    assertAllFailed(allCalls(() -> CompletableFuture.completedFuture(null)));
    assertAllFailed(allCalls(() -> null));
  }

  @Test
  void aCallThatNeverEndsIsAFailureAfterItsTime() {
    List<CompletableFuture<?>> calls = allCalls(CompletableFuture::new);

    loop.advance(MAX_CALL_MILLIS - 1);
    calls.forEach(call -> assertThat(call.isDone()).isFalse());
    loop.advance(1);
    assertAllFailed(calls.subList(0, calls.size() - 1));
    assertThat(calls.get(calls.size() - 1).isDone()).isFalse();
    loop.advance(WATCH_MILLIS);
    assertAllFailed(calls);
  }

  @Test
  void resultsArePassedOn() {
    Store store = new GuardedStore(new MemoryStore(clock, loop), loop, MAX_CALL_MILLIS);

    CompletableFuture<WriteResult> write =
        store.write("k", new byte[] {1}, new WriteCondition.Always(), Optional.empty());
    loop.advance(1);

    assertThat(write.join()).isInstanceOf(WriteResult.Written.class);
    assertThat(store.read("k").join()).isInstanceOf(ReadResult.Found.class);
    assertThat(((ListResult.Listed) store.list("k").join()).entries()).hasSize(1);
  }
}
