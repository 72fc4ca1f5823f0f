package org.wagtailpin.store.memory;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.wagtailpin.control.ControlLoop;
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

/** Client of a {@link FaultyStore}; a partition applies to individual clients by name. */
final class FaultyStoreClient implements Store {

  private final String name;
  private final FaultyStore faultyStore;
  private final MemoryStore store;
  private final ControlLoop loop;
  private final long timeoutMillis;

  FaultyStoreClient(
      String name,
      FaultyStore faultyStore,
      MemoryStore store,
      ControlLoop loop,
      long timeoutMillis) {
    this.name = name;
    this.faultyStore = faultyStore;
    this.store = store;
    this.loop = loop;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return readStale(key, timeoutMillis);
  }

  @Override
  public CompletableFuture<ReadResult> readStale(String key, long answerTimeoutMillis) {
    return call(
        () -> faultyStore.read(key),
        new ReadResult.Failed(refused(Step.READ_STORE)),
        new ReadResult.Failed(timeout(Step.READ_STORE)),
        answerTimeoutMillis);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return call(
        () -> faultyStore.list(prefix),
        new ListResult.Failed(refused(Step.READ_STORE)),
        new ListResult.Failed(timeout(Step.READ_STORE)),
        timeoutMillis);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    byte[] sent = value.clone();
    return change(key, () -> store.write(key, sent, condition, lease));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return change(key, () -> store.delete(key, condition));
  }

  private CompletableFuture<WriteResult> change(
      String key, Supplier<CompletableFuture<WriteResult>> effect) {
    return call(
        () -> {
          faultyStore.recordBeforeChange(key);
          return effect.get();
        },
        new WriteResult.NotWritten(refused(Step.WRITE_STORE)),
        new WriteResult.Unknown(timeout(Step.WRITE_STORE)),
        timeoutMillis);
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return leaseCall(() -> store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return leaseCall(() -> store.renewLease(lease));
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return leaseCall(() -> store.revokeLease(lease));
  }

  private CompletableFuture<LeaseResult> leaseCall(
      Supplier<CompletableFuture<LeaseResult>> effect) {
    return call(
        effect,
        new LeaseResult.Failed(refused(Step.KEEP_LEASE)),
        new LeaseResult.Failed(timeout(Step.KEEP_LEASE)),
        timeoutMillis);
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    CompletableFuture<WatchResult> answer =
        call(
            () -> watchOrCompacted(prefix, afterRevision, waitMillis),
            new WatchResult.Failed(refused(Step.WATCH_STORE)),
            new WatchResult.Failed(timeout(Step.WATCH_STORE)),
            waitMillis + timeoutMillis);
    long lagMillis = faultyStore.faults().watchLagMillis();
    return lagMillis > 0 ? answer.thenCompose(result -> delayed(lagMillis, result)) : answer;
  }

  private CompletableFuture<WatchResult> watchOrCompacted(
      String prefix, long afterRevision, long waitMillis) {
    if (faultyStore.shouldInject(faultyStore.faults().compactedShare())) {
      return store
          .list(prefix)
          .thenApply(now -> new WatchResult.Compacted(((ListResult.Listed) now).storeRevision()));
    }
    return store.watch(prefix, afterRevision, waitMillis);
  }

  private <R> CompletableFuture<R> delayed(long delayMillis, R result) {
    CompletableFuture<R> delayedResult = new CompletableFuture<>();
    loop.schedule(delayMillis, () -> delayedResult.complete(result));
    return delayedResult;
  }

  private <R> CompletableFuture<R> call(
      Supplier<CompletableFuture<R>> effect,
      R refusedResult,
      R timeoutResult,
      long answerTimeoutMillis) {
    CompletableFuture<R> answer = new CompletableFuture<>();
    StoreFaults faults = faultyStore.faults();
    if (faults.down()) {
      loop.execute(() -> answer.complete(refusedResult));
      return answer;
    }
    loop.schedule(answerTimeoutMillis, () -> answer.complete(timeoutResult));
    if (isPartitioned() || faultyStore.shouldInject(faults.lostRequestShare())) {
      return answer;
    }
    loop.schedule(faultyStore.randomDelayMillis(), () -> runCall(effect, answer));
    return answer;
  }

  private <R> void runCall(Supplier<CompletableFuture<R>> effect, CompletableFuture<R> answer) {
    CompletableFuture<Void> unused = effect.get().thenAccept(result -> reply(answer, result));
  }

  private <R> void reply(CompletableFuture<R> answer, R result) {
    if (isPartitioned() || isAnswerLost(result)) {
      return;
    }
    loop.schedule(faultyStore.randomDelayMillis(), () -> answer.complete(result));
  }

  private boolean isAnswerLost(Object result) {
    StoreFaults faults = faultyStore.faults();
    return faultyStore.shouldInject(faults.lostAnswerShare())
        || (result instanceof WriteResult
            && faultyStore.shouldInject(faults.lostWriteAnswerShare()));
  }

  private boolean isPartitioned() {
    return faultyStore.faults().partitionedClients().contains(name);
  }

  private static Fault refused(Step step) {
    return new Fault(step, Peer.STORE, "", "connection refused");
  }

  private static Fault timeout(Step step) {
    return new Fault(step, Peer.STORE, "", "no answer in time");
  }
}
