package org.wagtailpin.claims;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wagtailpin.claims.generated.ClaimSegment;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

/** The keys of one shard in the store; answers arrive on the control loop. */
final class ShardStore {

  private static final String ROOT = "claims/";
  private static final String HEAD = "head";

  private final Store store;
  private final ControlLoop loop;
  private final ClaimCounters counters;
  private final String prefix;

  ShardStore(Store store, ControlLoop loop, ClaimCounters counters, int shard) {
    this.store = store;
    this.loop = loop;
    this.counters = counters;
    this.prefix = ROOT + String.format("%03d/", shard);
  }

  boolean isHead(String key) {
    return key.equals(prefix + HEAD);
  }

  void listAll(Consumer<ListResult> then) {
    counters.countRead();
    answer(store.list(prefix), then);
  }

  void readHead(Consumer<ReadResult> then) {
    counters.countRead();
    answer(store.read(prefix + HEAD), then);
  }

  void readSegment(long sequence, Consumer<ReadResult> then) {
    counters.countRead();
    answer(store.read(segmentKey(sequence)), then);
  }

  /** Writes the head if its last change is of a revision, 0 if it must not exist. */
  void writeHead(ClaimSegment head, long revision, Consumer<WriteResult> then) {
    write(prefix + HEAD, head, atRevision(revision), Optional.empty(), then);
  }

  /** Writes a closed segment if its last change is of a revision, 0 if it must not exist. */
  void writeSegment(
      ClaimSegment segment, long revision, LeaseId lease, Consumer<WriteResult> then) {
    String key = segmentKey(segment.getSequence());
    write(key, segment, atRevision(revision), Optional.of(lease), then);
  }

  private void write(
      String key,
      ClaimSegment segment,
      WriteCondition condition,
      Optional<LeaseId> lease,
      Consumer<WriteResult> then) {
    byte[] value = segment.toByteArray();
    counters.countWrite(value.length);
    answer(store.write(key, value, condition, lease), then);
  }

  private String segmentKey(long sequence) {
    return prefix + String.format("%016x", sequence);
  }

  private static WriteCondition atRevision(long revision) {
    return revision == 0 ? new WriteCondition.Absent() : new WriteCondition.AtRevision(revision);
  }

  private <T> void answer(CompletableFuture<T> call, Consumer<T> then) {
    Continuation.of(call, result -> loop.execute(() -> then.accept(result)));
  }
}
