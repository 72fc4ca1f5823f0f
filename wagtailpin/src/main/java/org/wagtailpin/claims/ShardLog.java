package org.wagtailpin.claims;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtailpin.claims.generated.ClaimBatch;
import org.wagtailpin.claims.generated.ClaimRecord;
import org.wagtailpin.claims.generated.ClaimSegment;

/**
 * One entry's copy of the log of a shard, and the active claims that result from it.
 *
 * <p>The head of the log is a single key that changes only by compare-and-swap, so the log has one
 * linear history. A write based on an outdated copy is refused by the store.
 */
final class ShardLog {

  /**
   * A claim that is in effect.
   *
   * @param fingerprint the fingerprint of the claimed request
   * @param attempt the id of the attempt that holds the key
   * @param observedMillis when this copy of the log first contained the claim, in milliseconds
   * @param ownWrite whether the entry that keeps this copy wrote the claim itself
   */
  record ActiveClaim(long fingerprint, String attempt, long observedMillis, boolean ownWrite) {}

  private final long windowMillis;
  private final Map<KeyHash, ActiveClaim> activeClaims = new LinkedHashMap<>();
  private ClaimSegment head = ClaimSegment.getDefaultInstance();
  private long headRevision;

  ShardLog(long windowMillis) {
    this.windowMillis = windowMillis;
  }

  ClaimSegment head() {
    return head;
  }

  /** Returns the store revision of the head, 0 if the head does not exist yet. */
  long headRevision() {
    return headRevision;
  }

  int size() {
    return activeClaims.size();
  }

  Optional<ActiveClaim> find(KeyHash key) {
    return Optional.ofNullable(activeClaims.get(key));
  }

  /** Removes claims that were first observed longer ago than the claim window. */
  void prune(long nowMillis) {
    Iterator<ActiveClaim> oldestFirst = activeClaims.values().iterator();
    while (oldestFirst.hasNext()) {
      if (nowMillis - oldestFirst.next().observedMillis() <= windowMillis) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** Replaces this copy by the given segments of the store, oldest first and the head last. */
  void rebuild(List<ClaimSegment> segments, long revision, String ownMark, long nowMillis) {
    activeClaims.clear();
    head = ClaimSegment.getDefaultInstance();
    headRevision = revision;
    for (ClaimSegment segment : segments) {
      applyFrom(segment, 0, ownMark, nowMillis);
      head = segment;
    }
  }

  /**
   * Applies a newer head. It must extend the current segment, or be the first version of the next
   * segment, with all batches of the current segment already applied.
   */
  void applyHead(ClaimSegment newHead, long revision, String ownMark, long nowMillis) {
    boolean sameSegment = newHead.getSequence() == head.getSequence();
    applyFrom(newHead, sameSegment ? head.getBatchesCount() : 0, ownMark, nowMillis);
    head = newHead;
    headRevision = revision;
  }

  private void applyFrom(ClaimSegment segment, int firstBatch, String ownMark, long nowMillis) {
    for (int i = firstBatch; i < segment.getBatchesCount(); i++) {
      ClaimBatch batch = segment.getBatches(i);
      boolean own = batch.getMark().equals(ownMark);
      for (ClaimRecord each : batch.getRecordsList()) {
        apply(each, own, nowMillis);
      }
    }
  }

  private void apply(ClaimRecord each, boolean own, long nowMillis) {
    KeyHash key = new KeyHash(each.getKeyHigh(), each.getKeyLow());
    ActiveClaim previous = activeClaims.get(key);
    if (each.getState() == ClaimRecord.State.RELEASED) {
      if (previous != null && previous.attempt().equals(each.getAttempt())) {
        activeClaims.remove(key);
      }
    } else {
      // A claim is written only for a free key. A later claim therefore means that the earlier one
      // has ended, even if the segment with its release no longer exists.
      activeClaims.remove(key);
      activeClaims.put(
          key, new ActiveClaim(each.getFingerprint(), each.getAttempt(), nowMillis, own));
    }
  }

  /** Returns whether a segment contains the batch with the given mark. */
  static boolean containsBatch(ClaimSegment segment, String mark) {
    return segment.getBatchesList().stream().anyMatch(batch -> batch.getMark().equals(mark));
  }
}
