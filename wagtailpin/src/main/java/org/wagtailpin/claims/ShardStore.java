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

/** Access to the store keys of one shard. Callbacks run on the control loop. */
final class ShardStore {

  private static final String ROOT_PREFIX = "claims/";
  private static final String HEAD = "head";

  private final Store store;
  private final ControlLoop loop;
  private final ClaimCounters counters;
  private final String prefix;

  ShardStore(Store store, ControlLoop loop, ClaimCounters counters, int shard) {
    this.store = store;
    this.loop = loop;
    this.counters = counters;
    this.prefix = ROOT_PREFIX + String.format("%03d/", shard);
  }

  boolean isHead(String key) {
    return key.equals(prefix + HEAD);
  }

  void listAll(Consumer<ListResult> callback) {
    counters.countRead();
    deliver(store.list(prefix), callback);
  }

  void readHead(Consumer<ReadResult> callback) {
    counters.countRead();
    deliver(store.read(prefix + HEAD), callback);
  }

  void readSegment(long sequence, Consumer<ReadResult> callback) {
    counters.countRead();
    deliver(store.read(segmentKey(sequence)), callback);
  }

  /** Writes the head if its current revision is the given one; 0 means it must not exist. */
  void writeHead(ClaimSegment head, long revision, Consumer<WriteResult> callback) {
    write(prefix + HEAD, head, conditionFor(revision), Optional.empty(), callback);
  }

  /** Writes a closed segment if its current revision is the given one; 0: must not exist. */
  void writeSegment(
      ClaimSegment segment, long revision, LeaseId lease, Consumer<WriteResult> callback) {
    String key = segmentKey(segment.getSequence());
    write(key, segment, conditionFor(revision), Optional.of(lease), callback);
  }

  private void write(
      String key,
      ClaimSegment segment,
      WriteCondition condition,
      Optional<LeaseId> lease,
      Consumer<WriteResult> callback) {
    byte[] value = segment.toByteArray();
    counters.countWrite(value.length);
    deliver(store.write(key, value, condition, lease), callback);
  }

  private String segmentKey(long sequence) {
    return prefix + String.format("%016x", sequence);
  }

  private static WriteCondition conditionFor(long revision) {
    return revision == 0 ? new WriteCondition.Absent() : new WriteCondition.AtRevision(revision);
  }

  private <T> void deliver(CompletableFuture<T> call, Consumer<T> callback) {
    Continuation.attach(call, result -> loop.execute(() -> callback.accept(result)));
  }
}
