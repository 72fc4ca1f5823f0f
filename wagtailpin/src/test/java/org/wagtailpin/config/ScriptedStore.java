package org.wagtailpin.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
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

/** A store that gives scripted answers to the next reads and writes, and then delegates. */
final class ScriptedStore implements Store {

  /** What becomes of a write whose outcome is reported as unknown. */
  enum LostWrite {
    TAKES_EFFECT,
    HAS_NO_EFFECT,
    TAKES_EFFECT_LATER
  }

  private static final Fault LOST = new Fault(Step.WRITE_STORE, Peer.STORE, "", "no answer");

  private final Store store;
  private final Deque<LostWrite> nextWrites = new ArrayDeque<>();
  private final Deque<ReadResult> nextReads = new ArrayDeque<>();
  private final Deque<Supplier<CompletableFuture<WriteResult>>> delayedWrites = new ArrayDeque<>();
  private boolean readsFail;

  ScriptedStore(Store store) {
    this.store = store;
  }

  void loseNextWrite(LostWrite outcome) {
    nextWrites.add(outcome);
  }

  void answerNextRead(ReadResult result) {
    nextReads.add(result);
  }

  void failReads() {
    readsFail = true;
  }

  /** Delivers the oldest delayed write to the store, and returns its result. */
  WriteResult deliverDelayedWrite() {
    return delayedWrites.remove().get().join();
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    if (readsFail) {
      return CompletableFuture.completedFuture(new ReadResult.Failed(LOST));
    }
    return nextReads.isEmpty()
        ? store.read(key)
        : CompletableFuture.completedFuture(nextReads.remove());
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    Supplier<CompletableFuture<WriteResult>> write =
        () -> store.write(key, value, condition, lease);
    if (nextWrites.isEmpty()) {
      return write.get();
    }
    LostWrite outcome = nextWrites.remove();
    if (outcome == LostWrite.TAKES_EFFECT) {
      write.get().join();
    } else if (outcome == LostWrite.TAKES_EFFECT_LATER) {
      delayedWrites.add(write);
    }
    return CompletableFuture.completedFuture(new WriteResult.Unknown(LOST));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return store.delete(key, condition);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return store.list(prefix);
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return store.grantLease(ttlMillis);
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return store.renewLease(lease);
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return store.revokeLease(lease);
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    return store.watch(prefix, afterRevision, waitMillis);
  }
}
