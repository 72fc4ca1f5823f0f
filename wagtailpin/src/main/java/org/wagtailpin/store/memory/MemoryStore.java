package org.wagtailpin.store.memory;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreChange;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.StoreRevision;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

/**
 * In-memory store without faults.
 *
 * <p>Thread-safe. Futures are complete when a call returns, except those of watches: they are
 * completed by the call that makes a change, or by the control loop at the end of the wait time.
 * Expired leases are ended by the next call to the store or by the control loop, whichever comes
 * first.
 */
public final class MemoryStore implements Store {

  /** Maximum size of a value, in bytes. */
  public static final int MAX_VALUE_BYTES = 1_000_000;

  private static final int MAX_HISTORY_CHANGES = 10_000;

  private static final class Lease {
    private final long ttlMillis;
    private long expiryMillis;

    Lease(long ttlMillis, long expiryMillis) {
      this.ttlMillis = ttlMillis;
      this.expiryMillis = expiryMillis;
    }
  }

  private record PendingWatch(
      String prefix, long afterRevision, CompletableFuture<WatchResult> future) {}

  /**
   * A copy of the store's content, from which it can be restored.
   *
   * @param entries the keys without a lease
   * @param revision the store's revision
   * @param lastLeaseId the number of the last lease
   */
  public record Copy(List<StoreEntry> entries, long revision, long lastLeaseId) {}

  private final Clock clock;
  private final ControlLoop loop;
  private final NavigableMap<String, StoreEntry> entries = new TreeMap<>();
  private final Map<LeaseId, Lease> leases = new HashMap<>();
  private final Deque<StoreChange> history = new ArrayDeque<>();
  private final List<PendingWatch> pendingWatches = new ArrayList<>();
  private long revision;
  private long compactedRevision;
  private long lastLeaseId;
  private long era;

  /**
   * Creates an empty store.
   *
   * @param clock the clock by which leases expire
   * @param loop the control loop that ends expired leases and timed-out watches
   */
  public MemoryStore(Clock clock, ControlLoop loop) {
    this.clock = clock;
    this.loop = loop;
  }

  /** Returns how often the store was restored. */
  public synchronized long era() {
    return era;
  }

  /** Returns a copy of the present content, without leases and their keys. */
  public synchronized Copy copy() {
    expireLeases();
    List<StoreEntry> permanent =
        entries.values().stream().filter(entry -> entry.lease().isEmpty()).toList();
    return new Copy(permanent, StoreRevision.bare(revision), lastLeaseId);
  }

  /**
   * Replaces the content by a copy and begins the next era. Revisions and leases after those of the
   * copy are assigned again.
   *
   * @param copy the copy
   */
  public void restore(Copy copy) {
    List<Runnable> answers = new ArrayList<>();
    synchronized (this) {
      era++;
      entries.clear();
      leases.clear();
      history.clear();
      for (StoreEntry entry : copy.entries()) {
        long entryRevision = StoreRevision.of(era, StoreRevision.bare(entry.revision()));
        entries.put(
            entry.key(), new StoreEntry(entry.key(), entry.value(), entryRevision, entry.lease()));
      }
      revision = StoreRevision.of(era, copy.revision());
      compactedRevision = revision;
      lastLeaseId = copy.lastLeaseId();
      collectWatchAnswers(answers);
    }
    answers.forEach(Runnable::run);
  }

  @Override
  public synchronized CompletableFuture<ReadResult> read(String key) {
    expireLeases();
    StoreEntry entry = entries.get(key);
    return CompletableFuture.completedFuture(
        entry == null ? new ReadResult.Absent(revision) : new ReadResult.Found(entry, revision));
  }

  @Override
  public synchronized CompletableFuture<ListResult> list(String prefix) {
    expireLeases();
    List<StoreEntry> found = new ArrayList<>();
    for (StoreEntry entry : entries.tailMap(prefix, true).values()) {
      if (!entry.key().startsWith(prefix)) {
        break;
      }
      found.add(entry);
    }
    return CompletableFuture.completedFuture(new ListResult.Listed(found, revision));
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    WriteResult result;
    List<Runnable> answers = new ArrayList<>();
    synchronized (this) {
      expireLeases();
      result = writeLocked(key, value, condition, lease);
      collectWatchAnswers(answers);
    }
    answers.forEach(Runnable::run);
    return CompletableFuture.completedFuture(result);
  }

  private WriteResult writeLocked(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    if (value.length > MAX_VALUE_BYTES) {
      return notWritten("value of " + value.length + " bytes is above " + MAX_VALUE_BYTES);
    }
    if (lease.isPresent() && !leases.containsKey(lease.get())) {
      return notWritten("lease " + lease.get().value() + " does not exist");
    }
    if (!isMet(condition, key)) {
      return new WriteResult.Conflict(currentRevision(key));
    }
    StoreEntry entry = new StoreEntry(key, value.clone(), ++revision, lease);
    entries.put(key, entry);
    addToHistory(new StoreChange(key, revision, Optional.of(entry)));
    return new WriteResult.Written(revision);
  }

  private static WriteResult notWritten(String detail) {
    return new WriteResult.NotWritten(new Fault(Step.WRITE_STORE, Peer.STORE, "", detail));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    WriteResult result;
    List<Runnable> answers = new ArrayList<>();
    synchronized (this) {
      expireLeases();
      if (!isMet(condition, key)) {
        result = new WriteResult.Conflict(currentRevision(key));
      } else {
        remove(key);
        result = new WriteResult.Written(revision);
      }
      collectWatchAnswers(answers);
    }
    answers.forEach(Runnable::run);
    return CompletableFuture.completedFuture(result);
  }

  private boolean isMet(WriteCondition condition, String key) {
    if (condition instanceof WriteCondition.Absent) {
      return !entries.containsKey(key);
    }
    if (condition instanceof WriteCondition.AtRevision at) {
      return currentRevision(key) == at.revision();
    }
    return true;
  }

  private long currentRevision(String key) {
    StoreEntry entry = entries.get(key);
    return entry == null ? 0 : entry.revision();
  }

  private void remove(String key) {
    if (entries.remove(key) != null) {
      addToHistory(new StoreChange(key, ++revision, Optional.empty()));
    }
  }

  private void addToHistory(StoreChange change) {
    history.addLast(change);
    if (history.size() > MAX_HISTORY_CHANGES) {
      compactedRevision = history.removeFirst().revision();
    }
  }

  @Override
  public synchronized CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    expireLeases();
    LeaseId id = new LeaseId(++lastLeaseId, era);
    leases.put(id, new Lease(ttlMillis, clock.millis() + ttlMillis));
    loop.schedule(ttlMillis, this::expireLeasesAndAnswerWatches);
    return CompletableFuture.completedFuture(new LeaseResult.Held(id, ttlMillis));
  }

  @Override
  public synchronized CompletableFuture<LeaseResult> renewLease(LeaseId id) {
    expireLeases();
    Lease lease = leases.get(id);
    if (lease == null) {
      return CompletableFuture.completedFuture(new LeaseResult.Lapsed());
    }
    lease.expiryMillis = clock.millis() + lease.ttlMillis;
    loop.schedule(lease.ttlMillis, this::expireLeasesAndAnswerWatches);
    return CompletableFuture.completedFuture(new LeaseResult.Held(id, lease.ttlMillis));
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId id) {
    List<Runnable> answers = new ArrayList<>();
    synchronized (this) {
      expireLeases();
      leases.remove(id);
      removeKeysOf(id);
      collectWatchAnswers(answers);
    }
    answers.forEach(Runnable::run);
    return CompletableFuture.completedFuture(new LeaseResult.Lapsed());
  }

  private void expireLeasesAndAnswerWatches() {
    List<Runnable> answers = new ArrayList<>();
    synchronized (this) {
      expireLeases();
      collectWatchAnswers(answers);
    }
    answers.forEach(Runnable::run);
  }

  private void expireLeases() {
    long nowMillis = clock.millis();
    Iterator<Map.Entry<LeaseId, Lease>> each = leases.entrySet().iterator();
    while (each.hasNext()) {
      Map.Entry<LeaseId, Lease> lease = each.next();
      if (lease.getValue().expiryMillis <= nowMillis) {
        each.remove();
        removeKeysOf(lease.getKey());
      }
    }
  }

  private void removeKeysOf(LeaseId id) {
    List<String> ended = new ArrayList<>();
    for (StoreEntry entry : entries.values()) {
      if (entry.lease().isPresent() && entry.lease().get().equals(id)) {
        ended.add(entry.key());
      }
    }
    ended.forEach(this::remove);
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    PendingWatch pendingWatch;
    synchronized (this) {
      expireLeases();
      Optional<WatchResult> known = changesSince(prefix, afterRevision);
      if (known.isPresent() || waitMillis <= 0) {
        return CompletableFuture.completedFuture(
            known.orElseGet(() -> new WatchResult.Changed(List.of(), revision)));
      }
      pendingWatch = new PendingWatch(prefix, afterRevision, new CompletableFuture<>());
      pendingWatches.add(pendingWatch);
    }
    loop.schedule(waitMillis, () -> timeOutWatch(pendingWatch));
    return pendingWatch.future();
  }

  private void timeOutWatch(PendingWatch pendingWatch) {
    long answerRevision;
    synchronized (this) {
      pendingWatches.remove(pendingWatch);
      answerRevision = revision;
    }
    pendingWatch.future().complete(new WatchResult.Changed(List.of(), answerRevision));
  }

  private Optional<WatchResult> changesSince(String prefix, long afterRevision) {
    boolean unknown = era > 0 && afterRevision > revision;
    if (afterRevision < compactedRevision || unknown) {
      return Optional.of(new WatchResult.Compacted(revision));
    }
    List<StoreChange> changes = new ArrayList<>();
    for (StoreChange change : history) {
      if (change.revision() > afterRevision && change.key().startsWith(prefix)) {
        changes.add(change);
      }
    }
    return changes.isEmpty()
        ? Optional.empty()
        : Optional.of(new WatchResult.Changed(changes, revision));
  }

  // The futures are completed outside the lock, because their callbacks may call the store again.
  private void collectWatchAnswers(List<Runnable> answers) {
    Iterator<PendingWatch> each = pendingWatches.iterator();
    while (each.hasNext()) {
      PendingWatch pendingWatch = each.next();
      Optional<WatchResult> result =
          changesSince(pendingWatch.prefix(), pendingWatch.afterRevision());
      if (result.isPresent()) {
        each.remove();
        answers.add(() -> pendingWatch.future().complete(result.get()));
      }
    }
  }
}
