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

/** A store that is replaced by one with an earlier state, such as a backup, after some calls. */
final class RolledBackStore implements Store {

  private final Store before;
  private final Store after;
  private int callsLeft;

  RolledBackStore(Store before, Store after, int calls) {
    this.before = before;
    this.after = after;
    this.callsLeft = calls;
  }

  private Store current() {
    return callsLeft-- > 0 ? before : after;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return current().read(key);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return current().list(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    return current().write(key, value, condition, lease);
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return current().delete(key, condition);
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return current().grantLease(ttlMillis);
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return current().renewLease(lease);
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return current().revokeLease(lease);
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    return current().watch(prefix, afterRevision, waitMillis);
  }
}
