package org.wagtailpin.benchmark.claims;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

/** Store wrapper whose results arrive a fixed delay after the call; watches are not delayed. */
final class DelayedStore implements Store {

  private final Store delegate;
  private final ControlLoop controlLoop;
  private final long delayMillis;

  DelayedStore(Store delegate, ControlLoop controlLoop, long delayMillis) {
    this.delegate = delegate;
    this.controlLoop = controlLoop;
    this.delayMillis = delayMillis;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return delayed(delegate.read(key));
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return delayed(delegate.list(prefix));
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    return delayed(delegate.write(key, value, condition, lease));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return delayed(delegate.delete(key, condition));
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return delayed(delegate.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return delayed(delegate.renewLease(lease));
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return delayed(delegate.revokeLease(lease));
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    return delegate.watch(prefix, afterRevision, waitMillis);
  }

  private <T> CompletableFuture<T> delayed(CompletableFuture<T> result) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    controlLoop.schedule(delayMillis, () -> answer.complete(result.join()));
    return answer;
  }
}
