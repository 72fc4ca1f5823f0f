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

/** Store client that disables one of the guards on which the correctness of claims depends. */
final class MutantStore implements Store {

  /** The guard that is disabled. */
  enum Mutation {
    NONE,
    /** Reports each write as successful as soon as it is sent. */
    GRANT_BEFORE_WRITE_IS_KNOWN,
    /** Writes without the compare-and-swap condition, so that the log's head is overwritten. */
    WRITE_WITHOUT_CONDITION,
    /** Reports a write that conflicted with another one as successful. */
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
