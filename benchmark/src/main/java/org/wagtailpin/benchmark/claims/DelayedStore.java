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

/** Store whose answers arrive a fixed time after the call. */
final class DelayedStore implements Store {

  private final Store store;
  private final ControlLoop timeline;
  private final long delayMillis;

  DelayedStore(Store store, ControlLoop timeline, long delayMillis) {
    this.store = store;
    this.timeline = timeline;
    this.delayMillis = delayMillis;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return late(store.read(key));
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return late(store.list(prefix));
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    return late(store.write(key, value, condition, lease));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return late(store.delete(key, condition));
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return late(store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return late(store.renewLease(lease));
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return late(store.revokeLease(lease));
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    return store.watch(prefix, afterRevision, waitMillis);
  }

  private <T> CompletableFuture<T> late(CompletableFuture<T> result) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    timeline.schedule(delayMillis, () -> answer.complete(result.join()));
    return answer;
  }
}
