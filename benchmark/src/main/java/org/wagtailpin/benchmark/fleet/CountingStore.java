package org.wagtailpin.benchmark.fleet;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.LongAdder;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

/** Store wrapper that counts lease calls and all other calls separately. Safe for all threads. */
final class CountingStore implements Store {

  private final Store delegate;
  private final LongAdder leaseCalls = new LongAdder();
  private final LongAdder otherCalls = new LongAdder();

  CountingStore(Store delegate) {
    this.delegate = delegate;
  }

  long leaseCalls() {
    return leaseCalls.sum();
  }

  long otherCalls() {
    return otherCalls.sum();
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    otherCalls.increment();
    return delegate.read(key);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    otherCalls.increment();
    return delegate.list(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    otherCalls.increment();
    return delegate.write(key, value, condition, lease);
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    otherCalls.increment();
    return delegate.delete(key, condition);
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    leaseCalls.increment();
    return delegate.grantLease(ttlMillis);
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    leaseCalls.increment();
    return delegate.renewLease(lease);
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    leaseCalls.increment();
    return delegate.revokeLease(lease);
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    otherCalls.increment();
    return delegate.watch(prefix, afterRevision, waitMillis);
  }
}
