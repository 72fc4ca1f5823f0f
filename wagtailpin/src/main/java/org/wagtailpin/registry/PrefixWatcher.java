package org.wagtailpin.registry;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
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
import org.wagtailpin.store.StoreRevision;
import org.wagtailpin.store.WatchResult;

/**
 * Lists the keys with a prefix once, and then watches the store for changes to them.
 *
 * <p>At most one watch or a few lists are outstanding. The keys are listed again when a watch fails
 * or lags behind, when the store has compacted the changes, when the store's revision has
 * decreased, and when the listener threw an exception. Runs on the control loop only.
 */
final class PrefixWatcher {

  /** Receives the content of the store, on the control loop. */
  interface Listener {

    /**
     * Called with all keys that have the prefix.
     *
     * @param entries the keys and values
     * @param revision the store revision as of which the list is complete
     */
    void listed(List<StoreEntry> entries, long revision);

    /**
     * Called with a batch of changes in the order of their revisions.
     *
     * @param changes the changes, none if the watch ended without any
     * @param revision the store revision up to which all changes were passed on
     */
    void changed(List<StoreChange> changes, long revision);

    /** Called when a store call failed. */
    void callFailed(Fault fault);

    /** Called when a store call succeeded, before its result is passed on. */
    void callSucceeded();

    /**
     * Called when {@link #listed} or {@link #changed} threw an exception or error. The keys are
     * listed again after a pause.
     *
     * @param revision the store revision of the result that was not processed
     * @param cause the exception
     */
    void processingFailed(long revision, Throwable cause);

    /** Called when the watcher begins to wait for something else. */
    default void phaseChanged(WatchPhase.Awaits awaits) {}
  }

  /** Below the maximum wait of stores, 30 s; {@link #revisionSeen} detects lost answers. */
  private static final long WATCH_WAIT_MILLIS = 28_000;

  private static final long FIRST_RETRY_MILLIS = 300;
  private static final long MAX_RETRY_MILLIS = 3_000;

  /** More than one only if the answer to an earlier one is late; the first answer is taken. */
  private static final int MAX_LISTS_UNDER_WAY = 3;

  /** How much later than another call's answer that of a watch may come, if the store is slow. */
  private static final long MAX_WATCH_LAG_MILLIS = 400;

  /**
   * How many lists in a row with an earlier revision show that the known one is wrong. Objects are
   * merged by their own revisions, so that none is taken back by an early list. A list of an
   * earlier era of the store is never taken.
   */
  private static final int OLDER_LISTS_TO_TAKE = 3;

  /** Longest pause after a list that showed that the watch had missed nothing. */
  private static final long MAX_LAG_PAUSE_MILLIS = 5_000;

  private final Store store;
  private final ControlLoop loop;
  private final String prefix;
  private final Listener listener;
  private final Backoff backoff;
  private final LongSupplier batchMillis;
  private final EventLog events;

  // Incremented by start, stop, restart and a list that is taken; answers to calls of an earlier
  // generation are ignored.
  private long generation;
  private boolean running;
  private int listsUnderWay;
  private long revision;
  private int olderLists;
  private long watches;
  private boolean awaitingChanges;
  private boolean lagCheckScheduled;
  private long lagPauseMillis = MAX_WATCH_LAG_MILLIS;
  private long laggingRevision;
  private int missedChanges;

  PrefixWatcher(
      Store store,
      ControlLoop loop,
      String prefix,
      UniformRandomProvider random,
      LongSupplier batchMillis,
      Listener listener,
      EventLog events) {
    this.store = store;
    this.loop = loop;
    this.prefix = prefix;
    this.batchMillis = batchMillis;
    this.listener = listener;
    this.events = events;
    this.backoff = new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
  }

  void start() {
    if (!running) {
      running = true;
      generation++;
      listsUnderWay = 0;
      backoff.reset();
      list();
    }
  }

  boolean running() {
    return running;
  }

  /** Returns how often a list has shown changes that the waiting watch had not reported. */
  int missedChanges() {
    return missedChanges;
  }

  /**
   * Compares the revision that another call has read with that of the watch. The answer of a watch
   * can be lost while other connections work; the keys are then listed again.
   *
   * @param seenRevision the store's revision, at most its present one
   */
  void revisionSeen(long seenRevision) {
    if (!awaitingChanges || seenRevision <= revision || lagCheckScheduled) {
      return;
    }
    lagCheckScheduled = true;
    long seenWatch = watches;
    loop.schedule(
        MAX_WATCH_LAG_MILLIS,
        () -> {
          lagCheckScheduled = false;
          if (awaitingChanges && watches == seenWatch && running) {
            events.recordEvent(
                Event.of(EventKind.WATCH_SILENT)
                    .with("revision", revision)
                    .with("seen", seenRevision));
            laggingRevision = revision;
            restart();
          }
        });
  }

  /**
   * Abandons the outstanding watch, if any, and lists the keys again; no effect if stopped. A list
   * that is outstanding is not abandoned, since each one would be if the store answers late.
   */
  void restart() {
    if (running && listsUnderWay < MAX_LISTS_UNDER_WAY) {
      if (listsUnderWay == 0) {
        generation++;
      }
      list();
    }
  }

  void stop() {
    running = false;
    generation++;
    listener.phaseChanged(WatchPhase.Awaits.STOPPED);
  }

  private void list() {
    awaitingChanges = false;
    listener.phaseChanged(WatchPhase.Awaits.LIST);
    listsUnderWay++;
    onLoop(store.list(prefix), this::afterList);
  }

  private void afterList(ListResult result) {
    listsUnderWay--;
    if (result instanceof ListResult.Listed list && mayTake(list)) {
      olderLists = 0;
      generation++;
      listsUnderWay = 0;
      listener.callSucceeded();
      revision = list.storeRevision();
      endLag(list.entries());
      if (process(() -> listener.listed(list.entries(), revision))) {
        watch();
      }
    } else if (result instanceof ListResult.Listed stale) {
      events.recordEvent(
          Event.of(EventKind.LIST_OLDER)
              .with("revision", stale.storeRevision())
              .with("known", revision));
      retryList();
    } else if (result instanceof ListResult.Failed failed) {
      listener.callFailed(failed.fault());
      retryList();
    }
  }

  private boolean mayTake(ListResult.Listed list) {
    olderLists = list.storeRevision() >= revision ? 0 : olderLists + 1;
    boolean earlierEra = StoreRevision.era(list.storeRevision()) < StoreRevision.era(revision);
    return olderLists == 0 || (olderLists >= OLDER_LISTS_TO_TAKE && !earlierEra);
  }

  private void retryList() {
    if (listsUnderWay == 0) {
      scheduleRetry(this::list);
    }
  }

  /**
   * Pauses the comparison of revisions, for longer each time, if the watch had missed no change: a
   * store may count changes that a watch does not report.
   */
  private void endLag(List<StoreEntry> entries) {
    if (laggingRevision == 0) {
      return;
    }
    long before = laggingRevision;
    laggingRevision = 0;
    if (entries.stream().anyMatch(entry -> entry.revision() > before)) {
      lagPauseMillis = MAX_WATCH_LAG_MILLIS;
      missedChanges++;
      return;
    }
    lagPauseMillis = Math.min(MAX_LAG_PAUSE_MILLIS, 2 * lagPauseMillis);
    lagCheckScheduled = true;
    loop.schedule(lagPauseMillis, () -> lagCheckScheduled = false);
  }

  private void watch() {
    awaitingChanges = true;
    watches++;
    listener.phaseChanged(WatchPhase.Awaits.WATCH);
    onLoop(store.watch(prefix, revision, WATCH_WAIT_MILLIS), this::afterWatch);
  }

  private void afterWatch(WatchResult result) {
    awaitingChanges = false;
    if (result instanceof WatchResult.Changed changed && changed.storeRevision() >= revision) {
      listener.callSucceeded();
      revision = changed.storeRevision();
      if (process(() -> listener.changed(changed.changes(), revision))) {
        if (changed.changes().isEmpty()) {
          watch();
        } else {
          // Changes come in bursts, such as a release of a service.
          scheduleNext(batchMillis.getAsLong(), this::watch);
        }
      }
    } else if (result instanceof WatchResult.Failed failed) {
      listener.callFailed(failed.fault());
      // List rather than watch: a store may report a lost history only with the next change.
      scheduleRetry(this::list);
    } else {
      events.recordEvent(Event.of(EventKind.HISTORY_LOST).with("revision", revision));
      scheduleRetry(this::list);
    }
  }

  /**
   * Passes a result on. An exception must not end the watch, on which all later changes depend, and
   * neither must an error, such as one for lack of memory in a burst of requests.
   *
   * @return whether the result was processed; if not, the next list is scheduled
   */
  private boolean process(Runnable notification) {
    try {
      notification.run();
      backoff.reset();
      return true;
    } catch (RuntimeException | Error e) {
      listener.processingFailed(revision, e);
      scheduleRetry(this::list);
      return false;
    }
  }

  private void scheduleRetry(Runnable next) {
    scheduleNext(backoff.nextMillis(), next);
  }

  private void scheduleNext(long delayMillis, Runnable next) {
    long startedGeneration = generation;
    listener.phaseChanged(WatchPhase.Awaits.PAUSE);
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
                        listener.phaseChanged(WatchPhase.Awaits.NOTHING);
                        next.accept(value);
                      }
                    }));
  }
}
