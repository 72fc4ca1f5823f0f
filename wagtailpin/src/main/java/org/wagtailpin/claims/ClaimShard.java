package org.wagtailpin.claims;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.wagtailpin.claims.generated.ClaimBatch;
import org.wagtailpin.claims.generated.ClaimRecord;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;

/**
 * The claims of one shard, on the entry that owns it. Used on the control loop only.
 *
 * <p>Claims are queued and written in batches. A batch is written once the outcome of the previous
 * one is known and the rate limit allows it. The verdict on an attempt is final: an attempt that
 * timed out before its batch was known to be in the log is withdrawn, and its claim is released if
 * the batch turns out to be in the log.
 */
final class ClaimShard {

  private static final long WITHDRAWN_RETENTION_MILLIS = 60_000;
  private static final int MAX_BATCH_RECORDS = 1_000;

  /** A key to release, unless another attempt has claimed it in the meantime. */
  private record PendingRelease(KeyHash key, String attempt) {}

  private final ClaimSettings settings;
  private final ShardLog log;
  private final ShardWriter writer;
  private final Supplier<String> batchMarks;
  private final Clock clock;
  private final ControlLoop loop;
  private final ClaimCounters counters;
  private final BatchRateLimiter rateLimiter;
  private final Deque<PendingClaim> queue = new ArrayDeque<>();
  private final Deque<PendingRelease> releases = new ArrayDeque<>();
  private final Map<String, PendingClaim> pending = new LinkedHashMap<>();
  private final Map<String, Long> withdrawn = new LinkedHashMap<>();
  private boolean storeCallInFlight;
  private boolean processingScheduled;

  ClaimShard(
      ClaimSettings settings,
      ShardLog log,
      ShardWriter writer,
      Supplier<String> batchMarks,
      Clock clock,
      ControlLoop loop,
      ClaimCounters counters) {
    this.settings = settings;
    this.log = log;
    this.writer = writer;
    this.batchMarks = batchMarks;
    this.clock = clock;
    this.loop = loop;
    this.counters = counters;
    this.rateLimiter = new BatchRateLimiter(clock, settings.batchIntervalMillis());
  }

  /** Returns whether no claim or release is queued and no store call is in flight. */
  boolean idle() {
    return !storeCallInFlight && queue.isEmpty() && releases.isEmpty();
  }

  /**
   * Claims a key for an attempt. A repeated call for a pending attempt returns the same future.
   *
   * @param waitMillis how long the claim may wait for its batch before it is withdrawn, in
   *     milliseconds
   */
  CompletableFuture<ClaimVerdict> claim(
      KeyHash key, long fingerprint, String attempt, long waitMillis) {
    PendingClaim existing = pending.get(attempt);
    if (existing != null) {
      return existing.verdict();
    }
    if (withdrawn.containsKey(attempt)) {
      return CompletableFuture.completedFuture(unavailable("the attempt was withdrawn"));
    }
    if (queue.size() >= settings.maxPendingPerShard()) {
      return CompletableFuture.completedFuture(unavailable("too many claims wait"));
    }
    PendingClaim claim = new PendingClaim(key, fingerprint, attempt);
    Optional<ClaimVerdict> verdict = verdictFromLog(claim);
    if (verdict.isPresent()) {
      return CompletableFuture.completedFuture(verdict.get());
    }
    pending.put(attempt, claim);
    queue.add(claim);
    loop.schedule(waitMillis, () -> expire(claim));
    processQueue();
    return claim.verdict();
  }

  /** Releases a key if the given attempt holds it or comes to hold it by a batch in flight. */
  void release(KeyHash key, String attempt) {
    PendingClaim claim = pending.get(attempt);
    if (claim != null && !claim.decided()) {
      withdraw(claim);
      return;
    }
    recordWithdrawal(attempt);
    if (releases.size() < settings.maxPendingPerShard()) {
      releases.add(new PendingRelease(key, attempt));
    }
    processQueue();
  }

  private void expire(PendingClaim claim) {
    if (!claim.decided()) {
      withdraw(claim);
    }
  }

  private void withdraw(PendingClaim claim) {
    recordWithdrawal(claim.attempt());
    if (queue.remove(claim)) {
      pending.remove(claim.attempt());
    }
    claim.verdict().complete(unavailable("the store did not take the claim in time"));
  }

  private void recordWithdrawal(String attempt) {
    long oldestMillis = clock.millis() - WITHDRAWN_RETENTION_MILLIS;
    Iterator<Long> oldestFirst = withdrawn.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next() < oldestMillis) {
      oldestFirst.remove();
    }
    withdrawn.put(attempt, clock.millis());
  }

  private static ClaimVerdict unavailable(String detail) {
    return new ClaimVerdict.Unavailable(detail);
  }

  private void processQueue() {
    if (storeCallInFlight || idle()) {
      return;
    }
    long waitMillis = rateLimiter.waitMillis();
    if (waitMillis > 0) {
      scheduleProcessing(waitMillis);
    } else if (writer.loaded()) {
      writeBatch();
    } else {
      load();
    }
  }

  private void scheduleProcessing(long waitMillis) {
    if (processingScheduled) {
      return;
    }
    processingScheduled = true;
    loop.schedule(
        waitMillis,
        () -> {
          processingScheduled = false;
          processQueue();
        });
  }

  private void load() {
    storeCallInFlight = true;
    writer.load(
        loaded -> {
          storeCallInFlight = false;
          if (!loaded) {
            rateLimiter.suspend(writer.backoffMillis());
          }
          processQueue();
        });
  }

  /**
   * Returns the verdict that follows from the local copy of the log; empty if the key is not
   * claimed in it or is about to be released.
   */
  private Optional<ClaimVerdict> verdictFromLog(PendingClaim claim) {
    if (releases.stream().anyMatch(release -> release.key().equals(claim.key()))) {
      return Optional.empty();
    }
    log.prune(clock.millis());
    return log.find(claim.key()).map(active -> verdict(claim, active));
  }

  private static ClaimVerdict verdict(PendingClaim claim, ShardLog.ActiveClaim active) {
    if (active.attempt().equals(claim.attempt())) {
      // Another process that wrote this attempt may have withdrawn it, so only the writer grants.
      return active.ownWrite()
          ? new ClaimVerdict.Granted()
          : unavailable("the attempt is in the log by another owner");
    }
    return active.fingerprint() == claim.fingerprint()
        ? new ClaimVerdict.Claimed(active.attempt())
        : new ClaimVerdict.Reused(active.attempt());
  }

  private void writeBatch() {
    ClaimBatch.Builder batch = ClaimBatch.newBuilder().setMark(batchMarks.get());
    Set<KeyHash> keys = new HashSet<>();
    addReleases(batch, keys);
    List<Runnable> answers = new ArrayList<>();
    List<PendingClaim> claims = addClaims(batch, keys, answers);
    if (batch.getRecordsCount() > 0) {
      storeCallInFlight = true;
      rateLimiter.countBatch();
      writer.append(batch.build(), written -> settle(claims, written));
    }
    answers.forEach(Runnable::run);
  }

  private void addReleases(ClaimBatch.Builder batch, Set<KeyHash> keys) {
    while (!releases.isEmpty()) {
      PendingRelease release = releases.remove();
      boolean holds =
          log.find(release.key())
              .filter(active -> active.attempt().equals(release.attempt()))
              .isPresent();
      if (holds && keys.add(release.key())) {
        batch.addRecords(record(release.key(), release.attempt(), ClaimRecord.State.RELEASED));
      }
    }
  }

  private List<PendingClaim> addClaims(
      ClaimBatch.Builder batch, Set<KeyHash> keys, List<Runnable> answers) {
    List<PendingClaim> waiting = List.copyOf(queue);
    queue.clear();
    List<PendingClaim> added = new ArrayList<>();
    for (PendingClaim claim : waiting) {
      if (keys.contains(claim.key()) || batch.getRecordsCount() >= MAX_BATCH_RECORDS) {
        queue.add(claim);
        continue;
      }
      Optional<ClaimVerdict> verdict = verdictFromLog(claim);
      if (verdict.isPresent()) {
        pending.remove(claim.attempt());
        answers.add(() -> claim.verdict().complete(verdict.get()));
      } else {
        keys.add(claim.key());
        added.add(claim);
        batch.addRecords(
            record(claim.key(), claim.attempt(), ClaimRecord.State.CLAIMED)
                .setFingerprint(claim.fingerprint()));
      }
    }
    return added;
  }

  private static ClaimRecord.Builder record(KeyHash key, String attempt, ClaimRecord.State state) {
    return ClaimRecord.newBuilder()
        .setKeyHigh(key.high())
        .setKeyLow(key.low())
        .setAttempt(attempt)
        .setState(state);
  }

  private void settle(List<PendingClaim> claims, boolean written) {
    storeCallInFlight = false;
    List<PendingClaim> granted = new ArrayList<>();
    for (int i = claims.size() - 1; i >= 0; i--) {
      PendingClaim claim = claims.get(i);
      if (!written && !claim.decided()) {
        queue.addFirst(claim);
        continue;
      }
      pending.remove(claim.attempt());
      if (written && claim.decided()) {
        releases.add(new PendingRelease(claim.key(), claim.attempt()));
      } else if (written) {
        granted.add(claim);
      }
    }
    counters.countClaims(granted.size());
    processQueue();
    // Complete the verdicts last, because their callbacks may claim again.
    granted.forEach(claim -> claim.verdict().complete(new ClaimVerdict.Granted()));
  }
}
