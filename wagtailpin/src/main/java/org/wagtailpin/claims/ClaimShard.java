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
 * The claims of one shard, on the entry that owns it.
 *
 * <p>Claims wait in a queue; a batch of them is written when the last one is settled and the
 * interval is over. The verdict on an attempt is given once and is final: an attempt whose time ran
 * out before its batch was known to be in the log is withdrawn, and released if the batch turns out
 * to be there.
 */
final class ClaimShard {

  private static final long WITHDRAWN_MEMORY_MILLIS = 60_000;
  private static final int MAX_BATCH_RECORDS = 1_000;

  /** A key that is to be free again, unless another attempt holds it by now. */
  private record Release(KeyHash key, String attempt) {}

  private final ClaimSettings settings;
  private final ShardLog log;
  private final ShardWriter writer;
  private final Supplier<String> marks;
  private final Clock clock;
  private final ControlLoop loop;
  private final ClaimCounters counters;
  private final WritePace pace;
  private final Deque<PendingClaim> queue = new ArrayDeque<>();
  private final Deque<Release> releases = new ArrayDeque<>();
  private final Map<String, PendingClaim> pending = new LinkedHashMap<>();
  private final Map<String, Long> withdrawn = new LinkedHashMap<>();
  private boolean busy;
  private boolean pumpScheduled;

  ClaimShard(
      ClaimSettings settings,
      ShardLog log,
      ShardWriter writer,
      Supplier<String> marks,
      Clock clock,
      ControlLoop loop,
      ClaimCounters counters) {
    this.settings = settings;
    this.log = log;
    this.writer = writer;
    this.marks = marks;
    this.clock = clock;
    this.loop = loop;
    this.counters = counters;
    this.pace = new WritePace(clock, settings.batchIntervalMillis());
  }

  /** Tells whether nothing waits and nothing is being written. */
  boolean idle() {
    return !busy && queue.isEmpty() && releases.isEmpty();
  }

  /** Claims a key for an attempt that waits for some milliseconds. */
  CompletableFuture<ClaimVerdict> claim(
      KeyHash key, long fingerprint, String attempt, long waitMillis) {
    PendingClaim known = pending.get(attempt);
    if (known != null) {
      return known.verdict();
    }
    if (withdrawn.containsKey(attempt)) {
      return CompletableFuture.completedFuture(unavailable("the attempt was withdrawn"));
    }
    if (queue.size() >= settings.maxPendingPerShard()) {
      return CompletableFuture.completedFuture(unavailable("too many claims wait"));
    }
    PendingClaim claim = new PendingClaim(key, fingerprint, attempt);
    Optional<ClaimVerdict> verdict = known(claim);
    if (verdict.isPresent()) {
      return CompletableFuture.completedFuture(verdict.get());
    }
    pending.put(attempt, claim);
    queue.add(claim);
    loop.schedule(waitMillis, () -> expire(claim));
    pump();
    return claim.verdict();
  }

  /** Frees a key that an attempt holds, if it does, now or once its batch is settled. */
  void release(KeyHash key, String attempt) {
    PendingClaim claim = pending.get(attempt);
    if (claim != null && !claim.decided()) {
      withdraw(claim);
      return;
    }
    remember(attempt);
    if (releases.size() < settings.maxPendingPerShard()) {
      releases.add(new Release(key, attempt));
    }
    pump();
  }

  private void expire(PendingClaim claim) {
    if (!claim.decided()) {
      withdraw(claim);
    }
  }

  private void withdraw(PendingClaim claim) {
    remember(claim.attempt());
    if (queue.remove(claim)) {
      pending.remove(claim.attempt());
    }
    claim.verdict().complete(unavailable("the store did not take the claim in time"));
  }

  private void remember(String attempt) {
    long oldestMillis = clock.millis() - WITHDRAWN_MEMORY_MILLIS;
    Iterator<Long> oldestFirst = withdrawn.values().iterator();
    while (oldestFirst.hasNext() && oldestFirst.next() < oldestMillis) {
      oldestFirst.remove();
    }
    withdrawn.put(attempt, clock.millis());
  }

  private static ClaimVerdict unavailable(String detail) {
    return new ClaimVerdict.Unavailable(detail);
  }

  private void pump() {
    if (busy || idle()) {
      return;
    }
    long waitMillis = pace.waitMillis();
    if (waitMillis > 0) {
      schedulePump(waitMillis);
    } else if (writer.loaded()) {
      writeBatch();
    } else {
      load();
    }
  }

  private void schedulePump(long waitMillis) {
    if (pumpScheduled) {
      return;
    }
    pumpScheduled = true;
    loop.schedule(
        waitMillis,
        () -> {
          pumpScheduled = false;
          pump();
        });
  }

  private void load() {
    busy = true;
    writer.load(
        loaded -> {
          busy = false;
          if (!loaded) {
            pace.hold(writer.backoffMillis());
          }
          pump();
        });
  }

  /** Answers from the log as far as it is known; a key that is about to be freed waits. */
  private Optional<ClaimVerdict> known(PendingClaim claim) {
    if (releases.stream().anyMatch(release -> release.key().equals(claim.key()))) {
      return Optional.empty();
    }
    log.prune(clock.millis());
    return log.find(claim.key()).map(standing -> verdict(claim, standing));
  }

  private static ClaimVerdict verdict(PendingClaim claim, ShardLog.Standing standing) {
    if (standing.attempt().equals(claim.attempt())) {
      // Another process may have withdrawn an attempt that it wrote, so only the writer grants.
      return standing.written()
          ? new ClaimVerdict.Granted()
          : unavailable("the attempt is in the log by another owner");
    }
    return standing.fingerprint() == claim.fingerprint()
        ? new ClaimVerdict.Claimed(standing.attempt())
        : new ClaimVerdict.Reused(standing.attempt());
  }

  private void writeBatch() {
    ClaimBatch.Builder batch = ClaimBatch.newBuilder().setMark(marks.get());
    Set<KeyHash> keys = new HashSet<>();
    takeReleases(batch, keys);
    List<Runnable> answers = new ArrayList<>();
    List<PendingClaim> claims = takeClaims(batch, keys, answers);
    if (batch.getRecordsCount() > 0) {
      busy = true;
      pace.countBatch();
      writer.append(batch.build(), written -> settle(claims, written));
    }
    answers.forEach(Runnable::run);
  }

  private void takeReleases(ClaimBatch.Builder batch, Set<KeyHash> keys) {
    while (!releases.isEmpty()) {
      Release release = releases.remove();
      boolean holds =
          log.find(release.key())
              .filter(standing -> standing.attempt().equals(release.attempt()))
              .isPresent();
      if (holds && keys.add(release.key())) {
        batch.addRecords(record(release.key(), release.attempt(), ClaimRecord.State.RELEASED));
      }
    }
  }

  private List<PendingClaim> takeClaims(
      ClaimBatch.Builder batch, Set<KeyHash> keys, List<Runnable> answers) {
    List<PendingClaim> waiting = List.copyOf(queue);
    queue.clear();
    List<PendingClaim> taken = new ArrayList<>();
    for (PendingClaim claim : waiting) {
      if (keys.contains(claim.key()) || batch.getRecordsCount() >= MAX_BATCH_RECORDS) {
        queue.add(claim);
        continue;
      }
      Optional<ClaimVerdict> verdict = known(claim);
      if (verdict.isPresent()) {
        pending.remove(claim.attempt());
        answers.add(() -> claim.verdict().complete(verdict.get()));
      } else {
        keys.add(claim.key());
        taken.add(claim);
        batch.addRecords(
            record(claim.key(), claim.attempt(), ClaimRecord.State.CLAIMED)
                .setFingerprint(claim.fingerprint()));
      }
    }
    return taken;
  }

  private static ClaimRecord.Builder record(KeyHash key, String attempt, ClaimRecord.State state) {
    return ClaimRecord.newBuilder()
        .setKeyHigh(key.high())
        .setKeyLow(key.low())
        .setAttempt(attempt)
        .setState(state);
  }

  private void settle(List<PendingClaim> claims, boolean written) {
    busy = false;
    List<PendingClaim> granted = new ArrayList<>();
    for (int i = claims.size() - 1; i >= 0; i--) {
      PendingClaim claim = claims.get(i);
      if (!written && !claim.decided()) {
        queue.addFirst(claim);
        continue;
      }
      pending.remove(claim.attempt());
      if (written && claim.decided()) {
        releases.add(new Release(claim.key(), claim.attempt()));
      } else if (written) {
        granted.add(claim);
      }
    }
    counters.countClaims(granted.size());
    pump();
    // Verdicts are told last, since whoever waits for one may claim again.
    granted.forEach(claim -> claim.verdict().complete(new ClaimVerdict.Granted()));
  }
}
