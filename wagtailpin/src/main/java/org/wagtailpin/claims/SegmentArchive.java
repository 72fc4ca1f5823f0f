package org.wagtailpin.claims;

import java.util.Optional;
import java.util.function.Consumer;
import org.wagtailpin.claims.generated.ClaimSegment;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.WriteResult;

/**
 * Keeps closed segments of one shard in the store for the window.
 *
 * <p>All copies of a segment are beginnings of one history, so a longer one holds more; a copy
 * never takes the place of a longer one, whichever entry writes it and however late.
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
   * Writes a segment that is about to be followed by the next.
   *
   * @param then told true once the store holds it whole, false if that is not known
   */
  void keep(ClaimSegment segment, Consumer<Boolean> then) {
    lease.acquire(
        granted -> {
          if (granted.isPresent()) {
            put(segment, 0, granted.get(), MAX_TRIES, then);
          } else {
            then.accept(false);
          }
        });
  }

  private void put(
      ClaimSegment segment, long revision, LeaseId under, int tries, Consumer<Boolean> then) {
    store.writeSegment(
        segment,
        revision,
        under,
        result -> {
          if (result instanceof WriteResult.Conflict && tries > 1) {
            putOverShorter(segment, under, tries - 1, then);
            return;
          }
          if (result instanceof WriteResult.NotWritten) {
            lease.drop();
          }
          then.accept(result instanceof WriteResult.Written);
        });
  }

  private void putOverShorter(
      ClaimSegment segment, LeaseId under, int tries, Consumer<Boolean> then) {
    store.readSegment(
        segment.getSequence(),
        result -> {
          if (result instanceof ReadResult.Failed) {
            then.accept(false);
            return;
          }
          Optional<Long> revision = replaceableRevision(segment, result);
          if (revision.isPresent()) {
            put(segment, revision.get(), under, tries, then);
          } else {
            // A longer copy shows that the head has moved on: its compare-and-swap will say so.
            then.accept(true);
          }
        });
  }

  private static Optional<Long> replaceableRevision(ClaimSegment segment, ReadResult result) {
    if (!(result instanceof ReadResult.Found found)) {
      return Optional.of(0L);
    }
    int kept =
        SegmentCodec.read(found.entry().value()).map(ClaimSegment::getBatchesCount).orElse(0);
    return kept > segment.getBatchesCount()
        ? Optional.empty()
        : Optional.of(found.entry().revision());
  }
}
