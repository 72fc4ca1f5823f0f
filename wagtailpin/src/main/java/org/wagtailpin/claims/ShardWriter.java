package org.wagtailpin.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.wagtailpin.claims.generated.ClaimBatch;
import org.wagtailpin.claims.generated.ClaimSegment;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.StoreEntry;
import org.wagtailpin.store.WriteResult;

/**
 * Appends batches to the log of one shard, one at a time, and finds out what became of each.
 *
 * <p>A write whose answer was lost is repeated as it was, on the same revision, until the store
 * either takes it or shows a later revision; only then is it known whether the batch is in the log.
 */
final class ShardWriter {

  private static final class Write {
    private final ClaimBatch batch;
    private final ClaimSegment head;
    private final long revision;
    private final Consumer<Boolean> then;
    private boolean uncertain;
    private long conflictRevision;

    Write(ClaimBatch batch, ClaimSegment head, long revision, Consumer<Boolean> then) {
      this.batch = batch;
      this.head = head;
      this.revision = revision;
      this.then = then;
    }
  }

  private final ShardStore store;
  private final SegmentArchive archive;
  private final ShardLog log;
  private final int segmentBytes;
  private final Clock clock;
  private final ControlLoop loop;
  private final Backoff backoff;
  private final ClaimCounters counters;
  private boolean loaded;

  ShardWriter(
      ShardStore store,
      SegmentArchive archive,
      ShardLog log,
      int segmentBytes,
      Clock clock,
      ControlLoop loop,
      Backoff backoff,
      ClaimCounters counters) {
    this.store = store;
    this.archive = archive;
    this.log = log;
    this.segmentBytes = segmentBytes;
    this.clock = clock;
    this.loop = loop;
    this.backoff = backoff;
    this.counters = counters;
  }

  boolean loaded() {
    return loaded;
  }

  /** Returns how long to wait before the next try after one that failed, in milliseconds. */
  long backoffMillis() {
    return backoff.nextMillis();
  }

  /**
   * Reads the whole log.
   *
   * @param then told whether the log is known now
   */
  void load(Consumer<Boolean> then) {
    store.listAll(
        result -> {
          loaded = result instanceof ListResult.Listed listed && rebuild(listed, 0, "").isPresent();
          then.accept(loaded);
        });
  }

  /**
   * Appends a batch.
   *
   * @param batch the batch, not empty
   * @param then told true once the batch is known to be in the log, false once it is known that it
   *     never will be
   */
  void append(ClaimBatch batch, Consumer<Boolean> then) {
    ClaimSegment head = log.head();
    if (head.getBatchesCount() == 0
        || head.getSerializedSize() + batch.getSerializedSize() <= segmentBytes) {
      put(write(batch, head.toBuilder(), then));
      return;
    }
    ClaimSegment.Builder next = ClaimSegment.newBuilder().setSequence(head.getSequence() + 1);
    archive.keep(
        head,
        kept -> {
          if (kept) {
            put(write(batch, next, then));
          } else {
            loop.schedule(backoffMillis(), () -> then.accept(false));
          }
        });
  }

  private Write write(ClaimBatch batch, ClaimSegment.Builder head, Consumer<Boolean> then) {
    return new Write(batch, head.addBatches(batch).build(), log.headRevision(), then);
  }

  private void put(Write write) {
    store.writeHead(write.head, write.revision, result -> finish(write, result));
  }

  private void finish(Write write, WriteResult result) {
    if (result instanceof WriteResult.Written written) {
      backoff.reset();
      log.adopt(write.head, written.revision(), write.batch.getMark(), clock.millis());
      write.then.accept(true);
    } else if (result instanceof WriteResult.Conflict conflict) {
      counters.countConflict();
      write.conflictRevision = conflict.currentRevision();
      catchUp(write);
    } else {
      write.uncertain |= result instanceof WriteResult.Unknown;
      Runnable next = write.uncertain ? () -> put(write) : () -> write.then.accept(false);
      loop.schedule(backoffMillis(), next);
    }
  }

  private void catchUp(Write write) {
    store.readHead(
        result -> {
          if (result instanceof ReadResult.Found found && isNewEnough(found.entry(), write)) {
            catchUpWith(write, found.entry());
          } else {
            loop.schedule(backoffMillis(), () -> catchUp(write));
          }
        });
  }

  // An answer can be older than the conflict that it is to explain.
  private static boolean isNewEnough(StoreEntry entry, Write write) {
    return entry.revision() >= write.conflictRevision && entry.revision() > write.revision;
  }

  private void catchUpWith(Write write, StoreEntry entry) {
    Optional<ClaimSegment> head = SegmentCodec.read(entry.value());
    if (head.isEmpty() || head.get().getSequence() != log.head().getSequence()) {
      reload(write);
      return;
    }
    backoff.reset();
    String mark = write.batch.getMark();
    log.adopt(head.get(), entry.revision(), mark, clock.millis());
    write.then.accept(ShardLog.holds(head.get(), mark));
  }

  private void reload(Write write) {
    String mark = write.batch.getMark();
    store.listAll(
        result -> {
          Optional<List<ClaimSegment>> segments =
              result instanceof ListResult.Listed listed
                  ? rebuild(listed, write.conflictRevision, mark)
                  : Optional.empty();
          if (segments.isPresent()) {
            backoff.reset();
            write.then.accept(segments.get().stream().anyMatch(s -> ShardLog.holds(s, mark)));
          } else {
            loop.schedule(backoffMillis(), () -> reload(write));
          }
        });
  }

  /** Takes the log as listed, or returns empty if it is not whole or older than a revision. */
  private Optional<List<ClaimSegment>> rebuild(
      ListResult.Listed listed, long leastRevision, String ownMark) {
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
    if (revision < leastRevision) {
      return Optional.empty();
    }
    // The head is the newest segment; a closed copy of it, left by a try to close it, says less.
    long headSequence = head.map(ClaimSegment::getSequence).orElse(0L);
    segments.removeIf(segment -> segment.getSequence() >= headSequence);
    head.ifPresent(segments::add);
    log.rebuild(segments, revision, ownMark, clock.millis());
    return Optional.of(segments);
  }
}
