package org.wagtailpin.config;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.tinylog.Logger;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreChange;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.WatchResult;

/**
 * Watches the shared state in the store and merges it into the active configuration.
 *
 * <p>At most one store call is outstanding. After a failure the watch is resumed from the last
 * revision after a backoff with jitter. The key is read again if the store has compacted the
 * changes, or if the store's revision has decreased. A stale answer is harmless, because states are
 * merged by ticket number. Runs on the control thread only.
 */
public final class StoreConfigWatcher {

  private static final long WATCH_WAIT_MILLIS = 30_000;
  private static final long FIRST_RETRY_MILLIS = 200;
  private static final long MAX_RETRY_MILLIS = 5000;

  private final Store store;
  private final ControlLoop loop;
  private final ConfigMerger merger;
  private final Backoff backoff;
  private final ConfigStateCodec codec = new ConfigStateCodec();

  // Incremented by each start and stop; answers to calls of an earlier generation are ignored.
  private long generation;
  private boolean running;
  private long revision;
  private Optional<Fault> fault = Optional.empty();

  /**
   * Creates a watcher that is not started.
   *
   * @param store the store that holds the shared state
   * @param loop the control thread
   * @param merger merges the states that were read
   * @param random source of the backoff jitter
   */
  public StoreConfigWatcher(
      Store store, ControlLoop loop, ConfigMerger merger, UniformRandomProvider random) {
    this.store = store;
    this.loop = loop;
    this.merger = merger;
    this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
  }

  /** Starts watching; has no effect if the watcher is running. */
  public void start() {
    if (!running) {
      running = true;
      generation++;
      backoff.reset();
      read();
    }
  }

  /** Stops watching; the answer to an outstanding call is ignored. */
  public void stop() {
    running = false;
    generation++;
  }

  /** Returns whether the watcher was started and not stopped since. */
  public boolean isRunning() {
    return running;
  }

  /** Returns the fault of the last store call, or empty if it succeeded. */
  public Optional<Fault> fault() {
    return fault;
  }

  private void read() {
    onLoop(store.read(ConfigKeys.STATE), this::afterRead);
  }

  private void afterRead(ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      merge(found.entry());
      revision = found.storeRevision();
      watch();
    } else if (result instanceof ReadResult.Absent absent) {
      recordSuccess();
      revision = absent.storeRevision();
      watch();
    } else if (result instanceof ReadResult.Failed failed) {
      retryAfterFailure(failed.fault(), this::read);
    }
  }

  private void watch() {
    onLoop(store.watch(ConfigKeys.STATE, revision, WATCH_WAIT_MILLIS), this::afterWatch);
  }

  private void afterWatch(WatchResult result) {
    if (result instanceof WatchResult.Changed changed) {
      afterChanges(changed);
    } else if (result instanceof WatchResult.Compacted) {
      scheduleRetry(this::read);
    } else if (result instanceof WatchResult.Failed failed) {
      retryAfterFailure(failed.fault(), this::watch);
    }
  }

  private void afterChanges(WatchResult.Changed changed) {
    changed.changes().forEach(this::mergeChange);
    boolean wentBack = changed.storeRevision() < revision;
    revision = changed.storeRevision();
    if (wentBack) {
      scheduleRetry(this::read);
      return;
    }
    recordSuccess();
    if (changed.changes().isEmpty()) {
      // Back off, since a store that ends waits early would otherwise be called in a tight loop.
      scheduleRetry(this::watch);
    } else {
      watch();
    }
  }

  private void mergeChange(StoreChange change) {
    if (change.key().equals(ConfigKeys.STATE)) {
      change.entry().ifPresent(this::merge);
    }
  }

  private void merge(StoreEntry entry) {
    ConfigStateReadResult decoded = codec.read(entry.value());
    if (decoded instanceof ConfigStateReadResult.Read read) {
      recordSuccess();
      merger.mergeFromStore(read.state().merged().objects());
    } else if (decoded instanceof ConfigStateReadResult.Unreadable unreadable) {
      // The active configuration is kept; a later revision may be readable again.
      Logger.error(
          "shared state at revision {} is unreadable; active configuration is kept: {}",
          entry.revision(),
          unreadable.detail());
    }
  }

  private void recordSuccess() {
    fault = Optional.empty();
    backoff.reset();
  }

  private void retryAfterFailure(Fault why, Runnable next) {
    fault = Optional.of(why);
    scheduleRetry(next);
  }

  private void scheduleRetry(Runnable next) {
    long startedGeneration = generation;
    loop.schedule(
        backoff.nextMillis(),
        () -> {
          if (generation == startedGeneration) {
            next.run();
          }
        });
  }

  private <R> void onLoop(CompletableFuture<R> answer, Consumer<R> next) {
    long startedGeneration = generation;
    CompletableFuture<Void> unused =
        answer.thenAccept(
            value ->
                loop.execute(
                    () -> {
                      if (generation == startedGeneration) {
                        next.accept(value);
                      }
                    }));
  }
}
