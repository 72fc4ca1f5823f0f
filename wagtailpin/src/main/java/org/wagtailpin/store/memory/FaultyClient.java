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

/** A faulty store as one client sees it. */
final class FaultyClient implements Store {

  private final String name;
  private final FaultyStore faulty;
  private final MemoryStore store;
  private final ControlLoop loop;
  private final long timeoutMillis;

  FaultyClient(
      String name, FaultyStore faulty, MemoryStore store, ControlLoop loop, long timeoutMillis) {
    this.name = name;
    this.faulty = faulty;
    this.store = store;
    this.loop = loop;
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return call(
        () -> faulty.read(key),
        new ReadResult.Failed(refused(Step.READ_STORE)),
        new ReadResult.Failed(timeout(Step.READ_STORE)),
        timeoutMillis);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return call(
        () -> faulty.list(prefix),
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
          faulty.beforeChange(key);
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
            () -> watchNow(prefix, afterRevision, waitMillis),
            new WatchResult.Failed(refused(Step.WATCH_STORE)),
            new WatchResult.Failed(timeout(Step.WATCH_STORE)),
            waitMillis + timeoutMillis);
    long lagMillis = faulty.faults().watchLagMillis();
    return lagMillis > 0 ? answer.thenCompose(result -> later(lagMillis, result)) : answer;
  }

  private CompletableFuture<WatchResult> watchNow(
      String prefix, long afterRevision, long waitMillis) {
    if (faulty.chance(faulty.faults().compactedShare())) {
      return store
          .list(prefix)
          .thenApply(now -> new WatchResult.Compacted(((ListResult.Listed) now).storeRevision()));
    }
    return store.watch(prefix, afterRevision, waitMillis);
  }

  private <R> CompletableFuture<R> later(long delayMillis, R result) {
    CompletableFuture<R> later = new CompletableFuture<>();
    loop.schedule(delayMillis, () -> later.complete(result));
    return later;
  }

  private <R> CompletableFuture<R> call(
      Supplier<CompletableFuture<R>> effect, R whenDown, R whenLost, long patienceMillis) {
    CompletableFuture<R> answer = new CompletableFuture<>();
    StoreFaults faults = faulty.faults();
    if (faults.down()) {
      loop.execute(() -> answer.complete(whenDown));
      return answer;
    }
    loop.schedule(patienceMillis, () -> answer.complete(whenLost));
    if (isCutOff() || faulty.chance(faults.lostRequestShare())) {
      return answer;
    }
    loop.schedule(faulty.travelMillis(), () -> carryOut(effect, answer));
    return answer;
  }

  private <R> void carryOut(Supplier<CompletableFuture<R>> effect, CompletableFuture<R> answer) {
    CompletableFuture<Void> unused = effect.get().thenAccept(result -> reply(answer, result));
  }

  private <R> void reply(CompletableFuture<R> answer, R result) {
    if (isCutOff() || isAnswerLost(result)) {
      return;
    }
    loop.schedule(faulty.travelMillis(), () -> answer.complete(result));
  }

  private boolean isAnswerLost(Object result) {
    StoreFaults faults = faulty.faults();
    return faulty.chance(faults.lostAnswerShare())
        || (result instanceof WriteResult && faulty.chance(faults.lostWriteAnswerShare()));
  }

  private boolean isCutOff() {
    return faulty.faults().partitionedClients().contains(name);
  }

  private static Fault refused(Step step) {
    return new Fault(step, Peer.STORE, "", "connection refused");
  }

  private static Fault timeout(Step step) {
    return new Fault(step, Peer.STORE, "", "no answer in time");
  }
}
