package org.wagtailpin.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.wagtailpin.claims.generated.ClaimBatch;
import org.wagtailpin.claims.generated.ClaimSegment;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.StoreRevision;
import org.wagtailpin.store.WriteResult;

/**
 * Appends batches to the log of one shard, one at a time, and determines the outcome of each.
 *
 * <p>A write whose reply was lost is repeated unchanged, on the same revision, until the store
 * either accepts it or reports a later revision. Only then is it known whether the batch is in the
 * log.
 */
final class ShardWriter {

  private static final class PendingWrite {
    private final ClaimBatch batch;
    private final ClaimSegment head;
    private final long revision;
    private final Consumer<Boolean> callback;
    private boolean outcomeUnknown;
    private long conflictRevision;

    PendingWrite(ClaimBatch batch, ClaimSegment head, long revision, Consumer<Boolean> callback) {
      this.batch = batch;
      this.head = head;
      this.revision = revision;
      this.callback = callback;
    }
  }

  private final ShardStore store;
  private final SegmentArchive archive;
  private final RestoreBarrier barrier;
  private final ShardLog log;
  private final int maxSegmentBytes;
  private final Clock clock;
  private final ControlLoop loop;
  private final Backoff backoff;
  private final ClaimCounters counters;
  private boolean loaded;

  ShardWriter(
      ShardStore store,
      SegmentArchive archive,
      RestoreBarrier barrier,
      ShardLog log,
      int maxSegmentBytes,
      Clock clock,
      ControlLoop loop,
      Backoff backoff,
      ClaimCounters counters) {
    this.store = store;
    this.archive = archive;
    this.barrier = barrier;
    this.log = log;
    this.maxSegmentBytes = maxSegmentBytes;
    this.clock = clock;
    this.loop = loop;
    this.backoff = backoff;
    this.counters = counters;
  }

  boolean loaded() {
    return loaded;
  }

  /** Counts one more failure and returns the delay before the next try, in milliseconds. */
  long backoffMillis() {
    return backoff.nextMillis();
  }

  /**
   * Loads the complete log from the store.
   *
   * @param callback receives whether the log was loaded
   */
  void load(Consumer<Boolean> callback) {
    store.listAll(
        result -> {
          loaded =
              result instanceof ListResult.Listed listed
                  && barrier.mayGrantAfter(listed.storeRevision())
                  && rebuild(listed, 0, "").isPresent();
          callback.accept(loaded);
        });
  }

  /**
   * Appends a batch.
   *
   * @param batch the batch, not empty
   * @param callback receives true once the batch is known to be in the log, false once it is known
   *     that it never will be
   */
  void append(ClaimBatch batch, Consumer<Boolean> callback) {
    ClaimSegment head = log.head();
    if (head.getBatchesCount() == 0
        || head.getSerializedSize() + batch.getSerializedSize() <= maxSegmentBytes) {
      sendWrite(newWrite(batch, head.toBuilder(), callback));
      return;
    }
    ClaimSegment.Builder next = ClaimSegment.newBuilder().setSequence(head.getSequence() + 1);
    archive.save(
        head,
        saved -> {
          if (saved) {
            sendWrite(newWrite(batch, next, callback));
          } else {
            loop.schedule(backoffMillis(), () -> callback.accept(false));
          }
        });
  }

  private PendingWrite newWrite(
      ClaimBatch batch, ClaimSegment.Builder head, Consumer<Boolean> callback) {
    return new PendingWrite(batch, head.addBatches(batch).build(), log.headRevision(), callback);
  }

  private void sendWrite(PendingWrite write) {
    store.writeHead(write.head, write.revision, result -> handleResult(write, result));
  }

  private void handleResult(PendingWrite write, WriteResult result) {
    if (result instanceof WriteResult.Written written) {
      backoff.reset();
      log.applyHead(write.head, written.revision(), write.batch.getMark(), clock.millis());
      write.callback.accept(true);
    } else if (result instanceof WriteResult.Conflict conflict) {
      counters.countConflict();
      write.conflictRevision = conflict.currentRevision();
      readNewerHead(write);
    } else {
      write.outcomeUnknown |= result instanceof WriteResult.Unknown;
      Runnable next =
          write.outcomeUnknown ? () -> sendWrite(write) : () -> write.callback.accept(false);
      loop.schedule(backoffMillis(), next);
    }
  }

  private void readNewerHead(PendingWrite write) {
    store.readHead(
        result -> {
          if (isOfLaterEra(storeRevision(result), write)) {
            abandonLog(write, storeRevision(result));
          } else if (result instanceof ReadResult.Found found
              && isNewEnough(found.entry(), write)) {
            applyNewerHead(write, found.entry());
          } else {
            loop.schedule(backoffMillis(), () -> readNewerHead(write));
          }
        });
  }

  private static long storeRevision(ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      return found.storeRevision();
    }
    return result instanceof ReadResult.Absent absent ? absent.storeRevision() : 0;
  }

  private static boolean isOfLaterEra(long number, PendingWrite write) {
    return StoreRevision.era(number) > StoreRevision.era(write.revision);
  }

  /** The log of a restored store is not a continuation of this copy, so it is loaded anew. */
  private void abandonLog(PendingWrite write, long number) {
    loaded = false;
    var unused = barrier.mayGrantAfter(number);
    write.callback.accept(false);
  }

  // A read can return a state that is older than the conflict that caused it.
  private static boolean isNewEnough(StoreEntry entry, PendingWrite write) {
    return entry.revision() >= write.conflictRevision && entry.revision() > write.revision;
  }

  private void applyNewerHead(PendingWrite write, StoreEntry entry) {
    Optional<ClaimSegment> head = SegmentCodec.read(entry.value());
    if (head.isEmpty() || head.get().getSequence() != log.head().getSequence()) {
      reload(write);
      return;
    }
    backoff.reset();
    String mark = write.batch.getMark();
    log.applyHead(head.get(), entry.revision(), mark, clock.millis());
    write.callback.accept(ShardLog.containsBatch(head.get(), mark));
  }

  private void reload(PendingWrite write) {
    String mark = write.batch.getMark();
    store.listAll(
        result -> {
          if (result instanceof ListResult.Listed listed
              && isOfLaterEra(listed.storeRevision(), write)) {
            abandonLog(write, listed.storeRevision());
            return;
          }
          Optional<List<ClaimSegment>> segments =
              result instanceof ListResult.Listed listed
                  ? rebuild(listed, write.conflictRevision, mark)
                  : Optional.empty();
          if (segments.isPresent()) {
            backoff.reset();
            write.callback.accept(
                segments.get().stream().anyMatch(s -> ShardLog.containsBatch(s, mark)));
          } else {
            loop.schedule(backoffMillis(), () -> reload(write));
          }
        });
  }

  /**
   * Rebuilds the log from a listing of its keys.
   *
   * @param minRevision the revision that the head must have reached
   * @return the segments, oldest first; empty if one cannot be decoded or the head is too old
   */
  private Optional<List<ClaimSegment>> rebuild(
      ListResult.Listed listed, long minRevision, String ownMark) {
    List<ClaimSegment> segments = new ArrayList<>();
    Optional<ClaimSegment> head = Optional.empty();
    long revision = 0;
    for (StoreEntry entry : listed.entries()) {
      Optional<ClaimSegment> segment = SegmentCodec.read(entry.value());
      counters.countBytesRead(entry.value().length);
      if (segment.isEmpty()) {
        return Optional.empty();
      }
      if (store.isHead(entry.key())) {
        head = segment;
        revision = entry.revision();
      } else {
        segments.add(segment.get());
      }
    }
    if (revision < minRevision) {
      return Optional.empty();
    }
    // The head is the newest segment. A closed copy of it, left by an interrupted switch to the
    // next segment, may have fewer batches.
    long headSequence = head.map(ClaimSegment::getSequence).orElse(0L);
    segments.removeIf(segment -> segment.getSequence() >= headSequence);
    head.ifPresent(segments::add);
    log.rebuild(segments, revision, ownMark, clock.millis());
    return Optional.of(segments);
  }
}
