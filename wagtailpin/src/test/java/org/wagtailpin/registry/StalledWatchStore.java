package org.wagtailpin.registry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.ListResult;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WatchResult;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.WriteResult;

/** A store that can fail the pending watch and then leaves later watches unanswered. */
final class StalledWatchStore implements Store {

  private final Store inner;
  private CompletableFuture<WatchResult> pendingWatch = new CompletableFuture<>();
  private boolean stalled;

  StalledWatchStore(Store inner) {
    this.inner = inner;
  }

  void failPendingWatch() {
    stalled = true;
    Fault fault = new Fault(Step.WATCH_STORE, Peer.STORE, "", "reset");
    pendingWatch.complete(new WatchResult.Failed(fault));
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    pendingWatch = new CompletableFuture<>();
    if (!stalled) {
      inner.watch(prefix, afterRevision, waitMillis).thenAccept(pendingWatch::complete);
    }
    return pendingWatch;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return inner.read(key);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return inner.list(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    return inner.write(key, value, condition, lease);
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return inner.delete(key, condition);
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return inner.grantLease(ttlMillis);
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return inner.renewLease(lease);
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return inner.revokeLease(lease);
  }
}
