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

/** One entry's connection to a store, on which calls and answers can be lost. */
final class UnreliableStore implements Store {

  private final Store base;
  private final UniformRandomProvider random;
  private final Supplier<StoreLinkState> linkState;
  private long calls;

  UnreliableStore(Store base, UniformRandomProvider random, Supplier<StoreLinkState> linkState) {
    this.base = base;
    this.random = random;
    this.linkState = linkState;
  }

  long calls() {
    return calls;
  }

  private boolean isRequestLost() {
    calls++;
    return linkState.get() == StoreLinkState.CUT || (isAnswerLost() && random.nextBoolean());
  }

  private boolean isAnswerLost() {
    return linkState.get() != StoreLinkState.OPEN;
  }

  private static Fault fault() {
    return new Fault(Step.READ_STORE, Peer.STORE, "", "no answer");
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    boolean lost = isRequestLost() || isAnswerLost();
    return lost
        ? CompletableFuture.completedFuture(new ReadResult.Failed(fault()))
        : base.read(key);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    boolean lost = isRequestLost() || isAnswerLost();
    return lost
        ? CompletableFuture.completedFuture(new ListResult.Failed(fault()))
        : base.list(prefix);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    CompletableFuture<WriteResult> failure =
        CompletableFuture.completedFuture(new WriteResult.Unknown(fault()));
    if (isRequestLost()) {
      return failure;
    }
    CompletableFuture<WriteResult> result = base.write(key, value, condition, lease);
    return isAnswerLost() ? failure : result;
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    CompletableFuture<WriteResult> failure =
        CompletableFuture.completedFuture(new WriteResult.Unknown(fault()));
    if (isRequestLost()) {
      return failure;
    }
    CompletableFuture<WriteResult> result = base.delete(key, condition);
    return isAnswerLost() ? failure : result;
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    CompletableFuture<LeaseResult> failure =
        CompletableFuture.completedFuture(new LeaseResult.Failed(fault()));
    if (isRequestLost()) {
      return failure;
    }
    CompletableFuture<LeaseResult> result = base.grantLease(ttlMillis);
    return isAnswerLost() ? failure : result;
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    CompletableFuture<LeaseResult> failure =
        CompletableFuture.completedFuture(new LeaseResult.Failed(fault()));
    if (isRequestLost()) {
      return failure;
    }
    CompletableFuture<LeaseResult> result = base.renewLease(lease);
    return isAnswerLost() ? failure : result;
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    CompletableFuture<LeaseResult> failure =
        CompletableFuture.completedFuture(new LeaseResult.Failed(fault()));
    if (isRequestLost()) {
      return failure;
    }
    CompletableFuture<LeaseResult> result = base.revokeLease(lease);
    return isAnswerLost() ? failure : result;
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    CompletableFuture<WatchResult> failure =
        CompletableFuture.completedFuture(new WatchResult.Failed(fault()));
    if (isRequestLost() || isAnswerLost()) {
      return failure;
    }
    return base.watch(prefix, afterRevision, waitMillis)
        .thenApply(result -> isAnswerLost() ? new WatchResult.Failed(fault()) : result);
  }
}
