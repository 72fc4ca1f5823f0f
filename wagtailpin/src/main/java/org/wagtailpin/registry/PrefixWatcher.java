package org.wagtailpin.registry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreChange;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.WatchResult;

/**
 * Follows the keys that begin with a prefix: lists them once, and then watches for changes.
 *
 * <p>At most one call is under way. It lists again when a watch failed, and when the store no
 * longer holds the changes or has gone back. Runs on the control loop.
 */
final class PrefixWatcher {

  /** Told what the store holds. */
  interface Listener {

    /**
     * Called with all keys.
     *
     * @param entries the keys and values
     * @param revision the revision as of which none is missing
     */
    void listed(List<StoreEntry> entries, long revision);

    /** Called with changes in their order. */
    void changed(List<StoreChange> changes);

    /** Called when a call failed. */
    void callFailed(Fault fault);

    /** Called when a call succeeded, before its result is told. */
    void callSucceeded();
  }

  /** Below the longest wait of stores, 30 s; a dead connection is noticed by other means. */
  private static final long WATCH_WAIT_MILLIS = 15_000;

  private static final long FIRST_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 800;

  /** Changes come in runs, such as a service's release; the next watch takes a run together. */
  private static final long BATCH_DELAY_MILLIS = 400;

  private final Store store;
  private final ControlLoop loop;
  private final String prefix;
  private final Listener listener;
  private final Backoff backoff;
  private final EventLog events;

  // Answers to calls of an earlier run are ignored.
  private long generation;
  private boolean running;
  private long revision;

  PrefixWatcher(
      Store store,
      ControlLoop loop,
      String prefix,
      UniformRandomProvider random,
      Listener listener,
      EventLog events) {
    this.store = store;
    this.loop = loop;
    this.prefix = prefix;
    this.listener = listener;
    this.events = events;
    this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
  }

  void start() {
    if (!running) {
      running = true;
      generation++;
      backoff.reset();
      list();
    }
  }

  /** Gives up the call under way, if any, and lists anew. */
  void restart() {
    if (running) {
      generation++;
      list();
    }
  }

  void stop() {
    running = false;
    generation++;
  }

  private void list() {
    onLoop(store.list(prefix), this::afterList);
  }

  private void afterList(ListResult result) {
    if (result instanceof ListResult.Listed list && list.storeRevision() >= revision) {
      backoff.reset();
      listener.callSucceeded();
      revision = list.storeRevision();
      listener.listed(list.entries(), revision);
      watch();
    } else if (result instanceof ListResult.Listed old) {
      events.recordEvent(
          Event.of(EventKind.LIST_OLDER)
              .with("revision", old.storeRevision())
              .with("known", revision));
      scheduleRetry(this::list);
    } else if (result instanceof ListResult.Failed failed) {
      listener.callFailed(failed.fault());
      scheduleRetry(this::list);
    }
  }

  private void watch() {
    onLoop(store.watch(prefix, revision, WATCH_WAIT_MILLIS), this::afterWatch);
  }

  private void afterWatch(WatchResult result) {
    if (result instanceof WatchResult.Changed changed && changed.storeRevision() >= revision) {
      backoff.reset();
      listener.callSucceeded();
      revision = changed.storeRevision();
      if (changed.changes().isEmpty()) {
        watch();
      } else {
        listener.changed(changed.changes());
        scheduleNext(BATCH_DELAY_MILLIS, this::watch);
      }
    } else if (result instanceof WatchResult.Failed failed) {
      listener.callFailed(failed.fault());
      // A store that has dropped its history may tell so only with the next change.
      scheduleRetry(this::list);
    } else {
      events.recordEvent(Event.of(EventKind.HISTORY_LOST).with("revision", revision));
      scheduleRetry(this::list);
    }
  }

  private void scheduleRetry(Runnable next) {
    scheduleNext(backoff.nextMillis(), next);
  }

  private void scheduleNext(long delayMillis, Runnable next) {
    long startedGeneration = generation;
    loop.schedule(
        delayMillis,
        () -> {
          if (generation == startedGeneration) {
            next.run();
          }
        });
  }

  private <R> void onLoop(CompletableFuture<R> answer, Consumer<R> next) {
    long startedGeneration = generation;
    var unused =
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
