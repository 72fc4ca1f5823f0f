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
 * One entry's copy of the log of a shard, and the claims that stand by it.
 *
 * <p>The head of the log is a single key that changes by compare-and-swap only, so the log has one
 * history and a copy is either whole up to its revision or refused by the store when it writes.
 */
final class ShardLog {

  /** A key that is claimed; {@code written} tells that this copy's owner wrote the claim itself. */
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

  /** Returns the revision of the head in the store, 0 if the log has none yet. */
  long headRevision() {
    return headRevision;
  }

  int size() {
    return activeClaims.size();
  }

  Optional<ActiveClaim> find(KeyHash key) {
    return Optional.ofNullable(activeClaims.get(key));
  }

  /** Forgets claims that were first seen longer than the window ago. */
  void prune(long nowMillis) {
    Iterator<ActiveClaim> oldestFirst = activeClaims.values().iterator();
    while (oldestFirst.hasNext()) {
      if (nowMillis - oldestFirst.next().observedMillis() <= windowMillis) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** Starts over from all segments that the store holds, the head last. */
  void rebuild(List<ClaimSegment> segments, long revision, String ownMark, long nowMillis) {
    activeClaims.clear();
    head = ClaimSegment.getDefaultInstance();
    headRevision = revision;
    for (ClaimSegment segment : segments) {
      applyFrom(segment, 0, ownMark, nowMillis);
      head = segment;
    }
  }

  /** Takes a newer head: of the same segment, or of the one that follows a whole copy. */
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
      // A claim is written only on a free key, so a later one means that the earlier one ended,
      // even
      // if the segment with its release is gone.
      activeClaims.remove(key);
      activeClaims.put(
          key, new ActiveClaim(each.getFingerprint(), each.getAttempt(), nowMillis, own));
    }
  }

  /** Tells whether a segment holds the batch of a mark. */
  static boolean containsBatch(ClaimSegment segment, String mark) {
    return segment.getBatchesList().stream().anyMatch(batch -> batch.getMark().equals(mark));
  }
}
