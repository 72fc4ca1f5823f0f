package org.wagtailpin.claims;

import java.util.Optional;
import java.util.function.Consumer;
import org.wagtailpin.claims.generated.ClaimSegment;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.WriteResult;

/**
 * Saves the closed segments of one shard in the store for the duration of the claim window.
 *
 * <p>All copies of a segment are prefixes of the same history, so a copy with more batches is more
 * recent. A copy never replaces a longer one, regardless of which entry writes it and how late.
 */
final class SegmentArchive {

  private static final int MAX_TRIES = 4;

  private final ShardStore store;
  private final WindowLease lease;

  SegmentArchive(ShardStore store, WindowLease lease) {
    this.store = store;
    this.lease = lease;
  }

  /**
   * Saves the current segment before the next one is started.
   *
   * @param callback receives true once the store holds the complete segment, false if that is not
   *     known
   */
  void save(ClaimSegment segment, Consumer<Boolean> callback) {
    lease.acquire(
        granted -> {
          if (granted.isPresent()) {
            write(segment, 0, granted.get(), MAX_TRIES, callback);
          } else {
            callback.accept(false);
          }
        });
  }

  private void write(
      ClaimSegment segment,
      long revision,
      LeaseId leaseId,
      int triesLeft,
      Consumer<Boolean> callback) {
    store.writeSegment(
        segment,
        revision,
        leaseId,
        result -> {
          if (result instanceof WriteResult.Conflict && triesLeft > 1) {
            replaceShorterCopy(segment, leaseId, triesLeft - 1, callback);
            return;
          }
          if (result instanceof WriteResult.NotWritten) {
            lease.discard();
          }
          callback.accept(result instanceof WriteResult.Written);
        });
  }

  private void replaceShorterCopy(
      ClaimSegment segment, LeaseId leaseId, int triesLeft, Consumer<Boolean> callback) {
    store.readSegment(
        segment.getSequence(),
        result -> {
          if (result instanceof ReadResult.Failed) {
            callback.accept(false);
            return;
          }
          Optional<Long> revision = replaceableRevision(segment, result);
          if (revision.isPresent()) {
            write(segment, revision.get(), leaseId, triesLeft, callback);
          } else {
            // A longer copy means that the head has advanced, so the compare-and-swap on the head
            // will fail.
            callback.accept(true);
          }
        });
  }

  private static Optional<Long> replaceableRevision(ClaimSegment segment, ReadResult result) {
    if (!(result instanceof ReadResult.Found found)) {
      return Optional.of(0L);
    }
    int storedBatches =
        SegmentCodec.read(found.entry().value()).map(ClaimSegment::getBatchesCount).orElse(0);
    return storedBatches > segment.getBatchesCount()
        ? Optional.empty()
        : Optional.of(found.entry().revision());
  }
}
