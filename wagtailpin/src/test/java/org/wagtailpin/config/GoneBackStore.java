package org.wagtailpin.config;

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

/** A store that is replaced by one with an earlier state after a number of calls. */
final class GoneBackStore implements Store {

  private final Store before;
  private final Store after;
  private int callsLeft;

  GoneBackStore(Store before, Store after, int calls) {
    this.before = before;
    this.after = after;
    this.callsLeft = calls;
  }

  private Store now() {
    return callsLeft-- > 0 ? before : after;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return now().read(key);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return now().list(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    return now().write(key, value, condition, lease);
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return now().delete(key, condition);
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return now().grantLease(ttlMillis);
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return now().renewLease(lease);
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return now().revokeLease(lease);
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    return now().watch(prefix, afterRevision, waitMillis);
  }
}
