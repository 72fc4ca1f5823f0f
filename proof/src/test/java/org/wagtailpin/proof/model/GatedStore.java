package org.wagtailpin.proof.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

/**
 * Store client of one process. From {@link #holdWrites} on, the test decides when each write is
 * applied to the store and when its result is returned. All other operations pass through.
 */
final class GatedStore implements Store {

  private final class HeldWrite {
    private final String key;
    private final byte[] value;
    private final WriteCondition condition;
    private final Optional<LeaseId> lease;
    private final CompletableFuture<WriteResult> future = new CompletableFuture<>();
    private Optional<WriteResult> result = Optional.empty();

    HeldWrite(String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
      this.key = key;
      this.value = value;
      this.condition = condition;
      this.lease = lease;
    }

    WriteResult apply() {
      if (result.isEmpty()) {
        result = Optional.of(store.write(key, value, condition, lease).join());
      }
      return result.get();
    }
  }

  private final Store store;
  private final Deque<HeldWrite> heldWrites = new ArrayDeque<>();
  private boolean holdsWrites;

  GatedStore(Store store) {
    this.store = store;
  }

  /** Holds all later writes until the test applies and completes them. */
  void holdWrites() {
    holdsWrites = true;
  }

  int heldWriteCount() {
    return heldWrites.size();
  }

  /**
   * Applies the oldest held write to the store, unless it is applied already, and returns its
   * result. The writer does not get the result yet.
   */
  WriteResult applyOldestWrite() {
    return heldWrites.element().apply();
  }

  /** Completes the oldest held write with its result, and applies it first if necessary. */
  void completeOldestWrite() {
    HeldWrite oldest = heldWrites.remove();
    oldest.future.complete(oldest.apply());
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    if (!holdsWrites) {
      return store.write(key, value, condition, lease);
    }
    HeldWrite write = new HeldWrite(key, value, condition, lease);
    heldWrites.add(write);
    return write.future;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return store.read(key);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return store.list(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return store.delete(key, condition);
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return store.grantLease(ttlMillis);
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return store.renewLease(lease);
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return store.revokeLease(lease);
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    return store.watch(prefix, afterRevision, waitMillis);
  }
}
