package org.wagtailpin.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ScheduledTask;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreChange;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.WatchResult;

/**
 * Reads the keys of entries from the store: polls while this entry joins, watches for changes while
 * it is the elected watcher, and makes no calls otherwise. Confined to the control loop.
 */
final class StoreReader {

  /** How the store is read. */
  enum ReadMode {
    OFF,
    /** Lists all keys from time to time, with growing pauses. */
    POLL,
    /** Lists all keys once, and then receives every change. */
    WATCH
  }

  private static final int POLL_BACKOFF_FACTOR = 8;

  private final Store store;
  private final ControlLoop loop;
  private final Clock clock;
  private final MembershipSettings settings;
  private final Backoff backoff;
  private final Backoff pollBackoff;
  private final Consumer<StoreView> listener;
  private final Map<String, StoreEntry> entries = new TreeMap<>();
  private ReadMode mode = ReadMode.OFF;
  private boolean callPending;
  private boolean listed;
  private long revision;
  private long generation;
  private Optional<ScheduledTask> nextStep = Optional.empty();

  StoreReader(
      Store store,
      ControlLoop loop,
      Clock clock,
      UniformRandomProvider random,
      MembershipSettings settings,
      Consumer<StoreView> listener) {
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.backoff = new Backoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), random);
    this.pollBackoff =
        new Backoff(
            settings.minBackoffMillis(), POLL_BACKOFF_FACTOR * settings.maxBackoffMillis(), random);
    this.listener = listener;
  }

  /**
   * Sets the mode. A change of mode starts over with a list of all keys, after the pending call if
   * there is one.
   */
  void setMode(ReadMode newMode) {
    if (newMode == mode) {
      return;
    }
    mode = newMode;
    nextStep.ifPresent(ScheduledTask::cancel);
    nextStep = Optional.empty();
    listed = false;
    backoff.reset();
    pollBackoff.reset();
    step();
  }

  ReadMode mode() {
    return mode;
  }

  private void step() {
    if (mode == ReadMode.OFF || callPending) {
      return;
    }
    callPending = true;
    generation++;
    long callGeneration = generation;
    long sentMillis = clock.millis();
    // Without this, a call that neither completes nor fails would block the reader.
    loop.schedule(
        2 * settings.watchWaitMillis() + settings.maxBackoffMillis(),
        () -> abandonCall(callGeneration));
    if (mode == ReadMode.WATCH && listed) {
      LoopCallbacks.onLoop(
          loop,
          store.watch(EntryKeys.PREFIX, revision, settings.watchWaitMillis()),
          result -> onWatchResult(result, sentMillis, callGeneration));
    } else {
      LoopCallbacks.onLoop(
          loop,
          store.list(EntryKeys.PREFIX),
          result -> onListResult(result, sentMillis, callGeneration));
    }
  }

  private void abandonCall(long callGeneration) {
    if (callPending && callGeneration == generation) {
      listed = false;
      scheduleStep();
    }
  }

  private void scheduleStep() {
    callPending = false;
    generation++;
    Backoff delays = mode == ReadMode.POLL ? pollBackoff : backoff;
    nextStep = Optional.of(loop.schedule(delays.nextMillis(), this::step));
  }

  private void onListResult(ListResult result, long sentMillis, long callGeneration) {
    if (callGeneration != generation) {
      return;
    }
    // Store revisions never decrease, so a list with a lower revision than the last is stale.
    if (!(result instanceof ListResult.Listed list) || list.storeRevision() < revision) {
      scheduleStep();
      return;
    }
    entries.clear();
    for (StoreEntry entry : list.entries()) {
      entries.put(entry.key(), entry);
    }
    listed = true;
    publish(list.storeRevision(), sentMillis);
    if (mode == ReadMode.WATCH) {
      backoff.reset();
      continueNow();
    } else {
      scheduleStep();
    }
  }

  private void continueNow() {
    callPending = false;
    step();
  }

  private void onWatchResult(WatchResult result, long sentMillis, long callGeneration) {
    if (callGeneration != generation) {
      return;
    }
    if (result instanceof WatchResult.Changed changed && changed.storeRevision() >= revision) {
      apply(changed.changes());
      publish(changed.storeRevision(), sentMillis);
      backoff.reset();
      continueNow();
    } else {
      listed = false;
      scheduleStep();
    }
  }

  private void apply(List<StoreChange> changes) {
    for (StoreChange change : changes) {
      if (change.entry().isPresent()) {
        entries.put(change.key(), change.entry().get());
      } else {
        entries.remove(change.key());
      }
    }
  }

  private void publish(long storeRevision, long sentMillis) {
    revision = storeRevision;
    Map<String, Member> registered = new HashMap<>();
    Map<String, Long> revisions = new HashMap<>();
    Map<String, Boolean> leased = new HashMap<>();
    for (StoreEntry entry : entries.values()) {
      EntryKeys.entryOfLeaseKey(entry.key()).ifPresent(id -> leased.put(id, true));
      EntryKeys.entryOfRegistrationKey(entry.key())
          .ifPresent(
              id -> {
                revisions.put(id, entry.revision());
                EntryKeys.decode(entry).ifPresent(member -> registered.put(id, member));
              });
    }
    listener.accept(new StoreView(leased.keySet(), registered, revisions, sentMillis));
  }
}
