package org.wagtailpin.membership;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
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

/** One entry's way to the store, which can be cut, or lose calls and answers. */
final class CuttableStore implements Store {

  private final Store base;
  private final UniformRandomProvider random;
  private final Supplier<StoreWay> way;
  private long calls;

  CuttableStore(Store base, UniformRandomProvider random, Supplier<StoreWay> way) {
    this.base = base;
    this.random = random;
    this.way = way;
  }

  long calls() {
    return calls;
  }

  private boolean lostBefore() {
    calls++;
    return way.get() == StoreWay.CUT || (answerLost() && random.nextBoolean());
  }

  private boolean answerLost() {
    return way.get() != StoreWay.OPEN;
  }

  private static Fault fault() {
    return new Fault(Step.READ_STORE, Peer.STORE, "", "no answer");
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    boolean lost = lostBefore() || answerLost();
    return lost
        ? CompletableFuture.completedFuture(new ReadResult.Failed(fault()))
        : base.read(key);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    boolean lost = lostBefore() || answerLost();
    return lost
        ? CompletableFuture.completedFuture(new ListResult.Failed(fault()))
        : base.list(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    CompletableFuture<WriteResult> lost =
        CompletableFuture.completedFuture(new WriteResult.Unknown(fault()));
    if (lostBefore()) {
      return lost;
    }
    CompletableFuture<WriteResult> result = base.write(key, value, condition, lease);
    return answerLost() ? lost : result;
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    CompletableFuture<WriteResult> lost =
        CompletableFuture.completedFuture(new WriteResult.Unknown(fault()));
    if (lostBefore()) {
      return lost;
    }
    CompletableFuture<WriteResult> result = base.delete(key, condition);
    return answerLost() ? lost : result;
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    CompletableFuture<LeaseResult> lost =
        CompletableFuture.completedFuture(new LeaseResult.Failed(fault()));
    if (lostBefore()) {
      return lost;
    }
    CompletableFuture<LeaseResult> result = base.grantLease(ttlMillis);
    return answerLost() ? lost : result;
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    CompletableFuture<LeaseResult> lost =
        CompletableFuture.completedFuture(new LeaseResult.Failed(fault()));
    if (lostBefore()) {
      return lost;
    }
    CompletableFuture<LeaseResult> result = base.renewLease(lease);
    return answerLost() ? lost : result;
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    CompletableFuture<LeaseResult> lost =
        CompletableFuture.completedFuture(new LeaseResult.Failed(fault()));
    if (lostBefore()) {
      return lost;
    }
    CompletableFuture<LeaseResult> result = base.revokeLease(lease);
    return answerLost() ? lost : result;
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    CompletableFuture<WatchResult> lost =
        CompletableFuture.completedFuture(new WatchResult.Failed(fault()));
    if (lostBefore() || answerLost()) {
      return lost;
    }
    return base.watch(prefix, afterRevision, waitMillis)
        .thenApply(result -> answerLost() ? new WatchResult.Failed(fault()) : result);
  }
}
