package org.wagtailpin.examples;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;
import org.wagtailpin.store.memory.MemoryStore;

/**
 * Counter in the store that several processes increment by compare-and-swap.
 *
 * <p>Shows the outcome types of {@link Store}: a conflict is retried, a write whose outcome is
 * unknown is not.
 */
public final class StoreCounter {

  private static final String KEY = "example/counter";

  private final Store store;

  /**
   * Creates a counter.
   *
   * @param store holds the count
   */
  public StoreCounter(Store store) {
    this.store = store;
  }

  /**
   * Increments the count by one.
   *
   * @return the new count, or empty if it is not known to be stored
   */
  public CompletableFuture<Optional<Long>> increment() {
    return store.read(KEY).thenCompose(this::incrementFrom);
  }

  private CompletableFuture<Optional<Long>> incrementFrom(ReadResult read) {
    if (read instanceof ReadResult.Found found) {
      long next = Long.parseLong(new String(found.entry().value(), StandardCharsets.UTF_8)) + 1;
      return write(next, new WriteCondition.AtRevision(found.entry().revision()));
    }
    if (read instanceof ReadResult.Absent) {
      return write(1, new WriteCondition.Absent());
    }
    return CompletableFuture.completedFuture(Optional.empty());
  }

  private CompletableFuture<Optional<Long>> write(long count, WriteCondition condition) {
    byte[] value = Long.toString(count).getBytes(StandardCharsets.UTF_8);
    return store
        .write(KEY, value, condition, Optional.empty())
        .thenCompose(result -> handleWriteResult(count, result));
  }

  private CompletableFuture<Optional<Long>> handleWriteResult(long count, WriteResult result) {
    if (result instanceof WriteResult.Conflict) {
      return increment();
    }
    boolean written = result instanceof WriteResult.Written;
    return CompletableFuture.completedFuture(written ? Optional.of(count) : Optional.empty());
  }

  /**
   * Increments a counter in an in-memory store three times.
   *
   * @param args none
   */
  public static void main(String[] args) {
    ManualClock clock = new ManualClock(0);
    Store store = new MemoryStore(clock, new ManualControlLoop(clock));
    StoreCounter counter = new StoreCounter(store);
    for (int time = 0; time < 3; time++) {
      System.out.println("count " + counter.increment().join().orElseThrow());
    }
  }
}
