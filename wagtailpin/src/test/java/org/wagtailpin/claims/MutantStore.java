package org.wagtailpin.claims;

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

/** Store client that takes one of the guards away which the claims rest on. */
final class MutantStore implements Store {

  /** The guard that is taken away. */
  enum Mutation {
    NONE,
    /** A write counts as done when it is sent. */
    GRANT_BEFORE_WRITE_IS_KNOWN,
    /** The log's head is overwritten whatever it holds. */
    WRITE_WITHOUT_CONDITION,
    /** A write that found the log changed by another entry counts as done. */
    CONFLICT_MEANS_WRITTEN
  }

  private final Store store;
  private final Mutation mutation;

  MutantStore(Store store, Mutation mutation) {
    this.store = store;
    this.mutation = mutation;
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    return switch (mutation) {
      case NONE -> store.write(key, value, condition, lease);
      case GRANT_BEFORE_WRITE_IS_KNOWN -> {
        CompletableFuture<WriteResult> unused = store.write(key, value, condition, lease);
        yield CompletableFuture.completedFuture(new WriteResult.Written(1));
      }
      case WRITE_WITHOUT_CONDITION -> store.write(key, value, new WriteCondition.Always(), lease);
      case CONFLICT_MEANS_WRITTEN ->
          store
              .write(key, value, condition, lease)
              .thenApply(
                  result ->
                      result instanceof WriteResult.Conflict conflict
                          ? new WriteResult.Written(conflict.currentRevision())
                          : result);
    };
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
