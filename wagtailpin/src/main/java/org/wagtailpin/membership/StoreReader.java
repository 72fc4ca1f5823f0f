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
import org.wagtailpin.control.Scheduled;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreChange;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.WatchResult;

/**
 * Reads the keys about entries: once in a while while this entry joins, without a break while it
 * watches, and else not at all. Runs on the control loop.
 */
final class StoreReader {

  /** How much this entry needs to know of the store. */
  enum Need {
    NOTHING,
    /** A list now and again. */
    LISTS,
    /** Every change. */
    WATCH
  }

  private static final int LIST_PAUSE_FACTOR = 8;

  private final Store store;
  private final ControlLoop loop;
  private final Clock clock;
  private final MembershipSettings settings;
  private final Backoff backoff;
  private final Backoff listPauses;
  private final Consumer<StoreView> views;
  private final Map<String, StoreEntry> entries = new TreeMap<>();
  private Need need = Need.NOTHING;
  private boolean busy;
  private boolean listed;
  private long revision;
  private long generation;
  private Optional<Scheduled> next = Optional.empty();

  StoreReader(
      Store store,
      ControlLoop loop,
      Clock clock,
      UniformRandomProvider random,
      MembershipSettings settings,
      Consumer<StoreView> views) {
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.backoff = new Backoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), random);
    this.listPauses =
        new Backoff(
            settings.minBackoffMillis(), LIST_PAUSE_FACTOR * settings.maxBackoffMillis(), random);
    this.views = views;
  }

  /** Sets how much is needed from now on. */
  void setNeed(Need wanted) {
    if (wanted == need) {
      return;
    }
    need = wanted;
    next.ifPresent(Scheduled::cancel);
    next = Optional.empty();
    listed = false;
    backoff.reset();
    listPauses.reset();
    step();
  }

  Need need() {
    return need;
  }

  private void step() {
    if (need == Need.NOTHING || busy) {
      return;
    }
    busy = true;
    generation++;
    long call = generation;
    long sentMillis = clock.millis();
    // A call that neither ends nor fails must not keep the reader from the next one.
    loop.schedule(2 * settings.watchWaitMillis() + settings.maxBackoffMillis(), () -> giveUp(call));
    if (need == Need.WATCH && listed) {
      LoopCallbacks.onLoop(
          loop,
          store.watch(EntryKeys.PREFIX, revision, settings.watchWaitMillis()),
          result -> watched(result, sentMillis, call));
    } else {
      LoopCallbacks.onLoop(
          loop, store.list(EntryKeys.PREFIX), result -> listed(result, sentMillis, call));
    }
  }

  private void giveUp(long call) {
    if (busy && call == generation) {
      listed = false;
      stepLater();
    }
  }

  private void stepLater() {
    busy = false;
    generation++;
    Backoff pauses = need == Need.LISTS ? listPauses : backoff;
    next = Optional.of(loop.schedule(pauses.nextMillis(), this::step));
  }

  private void listed(ListResult result, long sentMillis, long call) {
    if (call != generation) {
      return;
    }
    // The store's revisions only rise, so an answer below one seen before is an old read.
    if (!(result instanceof ListResult.Listed list) || list.storeRevision() < revision) {
      stepLater();
      return;
    }
    entries.clear();
    for (StoreEntry entry : list.entries()) {
      entries.put(entry.key(), entry);
    }
    listed = true;
    publish(list.storeRevision(), sentMillis);
    if (need == Need.WATCH) {
      backoff.reset();
      continueNow();
    } else {
      stepLater();
    }
  }

  private void continueNow() {
    busy = false;
    step();
  }

  private void watched(WatchResult result, long sentMillis, long call) {
    if (call != generation) {
      return;
    }
    if (result instanceof WatchResult.Changed changed && changed.storeRevision() >= revision) {
      apply(changed.changes());
      publish(changed.storeRevision(), sentMillis);
      backoff.reset();
      continueNow();
    } else {
      listed = false;
      stepLater();
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
      EntryKeys.leasedEntry(entry.key()).ifPresent(id -> leased.put(id, true));
      EntryKeys.registeredEntry(entry.key())
          .ifPresent(
              id -> {
                revisions.put(id, entry.revision());
                EntryKeys.read(entry).ifPresent(member -> registered.put(id, member));
              });
    }
    views.accept(new StoreView(leased.keySet(), registered, revisions, sentMillis));
  }
}
