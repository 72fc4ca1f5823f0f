package org.wagtailpin.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/**
 * A store client that keeps the eras of a store apart, see {@link StoreRevision}.
 *
 * <p>An answer of an earlier era than the latest one seen is discarded: the call counts as failed,
 * and a write as one of unknown outcome. What refers to an earlier era is invalid in a later one,
 * since the store may have assigned its number again: a watch from such a revision ends as
 * compacted, a condition on such a revision does not hold, and such a lease has lapsed. Reads that
 * may be stale are passed on, as their caller expects earlier states. Thread-safe.
 */
public final class EraOrderedStore implements Store {

  private final Store store;
  private final AtomicLong latestEra = new AtomicLong();
  private final AtomicLong discarded = new AtomicLong();

  /**
   * Creates a client that has seen no answer.
   *
   * @param store the client whose numbers are composed of era and revision
   */
  public EraOrderedStore(Store store) {
    this.store = store;
  }

  /** Returns how many answers were discarded since the store had been restored meanwhile. */
  public long discardedAnswers() {
    return discarded.get();
  }

  /** Returns the latest era that an answer has shown. */
  public long latestEra() {
    return latestEra.get();
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return store
        .read(key)
        .thenApply(
            result -> inOrder(result, numberOf(result), Step.READ_STORE, ReadResult.Failed::new));
  }

  @Override
  public CompletableFuture<ReadResult> readStale(String key, long timeoutMillis) {
    return store
        .readStale(key, timeoutMillis)
        .thenApply(
            result -> {
              observe(StoreRevision.era(numberOf(result)));
              return result;
            });
  }

  /** Returns the number of the store's state that was read, 0 if it is not known. */
  private static long numberOf(ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      return found.storeRevision();
    }
    return result instanceof ReadResult.Absent absent ? absent.storeRevision() : 0;
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return store
        .list(prefix)
        .thenApply(
            result ->
                result instanceof ListResult.Listed listed
                    ? inOrder(
                        result, listed.storeRevision(), Step.READ_STORE, ListResult.Failed::new)
                    : result);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    if (lease.filter(id -> id.era() < latestEra()).isPresent()) {
      return CompletableFuture.completedFuture(
          new WriteResult.NotWritten(fault(Step.WRITE_STORE, "the lease is of an earlier era")));
    }
    return refusedCondition(condition)
        .orElseGet(
            () ->
                store
                    .write(key, value, condition, lease)
                    .thenApply(result -> written(result, condition)));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return refusedCondition(condition)
        .orElseGet(
            () -> store.delete(key, condition).thenApply(result -> written(result, condition)));
  }

  /** Returns the result of a write whose condition refers to an earlier era. */
  private Optional<CompletableFuture<WriteResult>> refusedCondition(WriteCondition condition) {
    long era = latestEra();
    boolean refused =
        condition instanceof WriteCondition.AtRevision at && StoreRevision.era(at.revision()) < era;
    return refused
        ? Optional.of(
            CompletableFuture.completedFuture(new WriteResult.Conflict(StoreRevision.of(era, 1))))
        : Optional.empty();
  }

  private WriteResult written(WriteResult result, WriteCondition condition) {
    if (!(result instanceof WriteResult.Written written)) {
      if (result instanceof WriteResult.Conflict conflict) {
        observe(StoreRevision.era(conflict.currentRevision()));
      }
      return result;
    }
    long era = StoreRevision.era(written.revision());
    if (isEarlier(era)) {
      return new WriteResult.Unknown(fault(Step.WRITE_STORE, "the write is of an earlier era"));
    }
    boolean otherBase =
        condition instanceof WriteCondition.AtRevision at && StoreRevision.era(at.revision()) < era;
    // The store cannot tell the revision of an earlier era from its own of the same number.
    return otherBase
        ? new WriteResult.Unknown(
            fault(Step.WRITE_STORE, "the condition was of an earlier era than the write"))
        : written;
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return store
        .grantLease(ttlMillis)
        .thenApply(
            result ->
                result instanceof LeaseResult.Held held && isEarlier(held.lease().era())
                    ? new LeaseResult.Failed(
                        fault(Step.KEEP_LEASE, "the lease is of an earlier era"))
                    : result);
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return keepLease(lease, store::renewLease);
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return keepLease(lease, store::revokeLease);
  }

  private CompletableFuture<LeaseResult> keepLease(
      LeaseId lease, Function<LeaseId, CompletableFuture<LeaseResult>> call) {
    if (lease.era() < latestEra()) {
      return CompletableFuture.completedFuture(new LeaseResult.Lapsed());
    }
    return call.apply(lease)
        .thenApply(
            result -> {
              if (result instanceof LeaseResult.Held held) {
                observe(held.lease().era());
                return lease.era() < latestEra() ? new LeaseResult.Lapsed() : result;
              }
              return result;
            });
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    long era = StoreRevision.era(afterRevision);
    if (era < latestEra()) {
      return CompletableFuture.completedFuture(
          new WatchResult.Compacted(StoreRevision.of(latestEra(), 0)));
    }
    return store
        .watch(prefix, afterRevision, waitMillis)
        .thenApply(
            result -> {
              long number = numberOf(result);
              boolean later = StoreRevision.era(number) > era;
              return inOrder(
                  later ? new WatchResult.Compacted(number) : result,
                  number,
                  Step.WATCH_STORE,
                  WatchResult.Failed::new);
            });
  }

  private static long numberOf(WatchResult result) {
    if (result instanceof WatchResult.Changed changed) {
      return changed.storeRevision();
    }
    return result instanceof WatchResult.Compacted compacted ? compacted.storeRevision() : 0;
  }

  /** Returns a result, or a failure if its number, unless that is 0, is of an earlier era. */
  private <R> R inOrder(R result, long number, Step step, Function<Fault, R> failure) {
    return number > 0 && isEarlier(StoreRevision.era(number))
        ? failure.apply(fault(step, "the answer is of an earlier era"))
        : result;
  }

  private void observe(long era) {
    latestEra.accumulateAndGet(era, Math::max);
  }

  private boolean isEarlier(long era) {
    boolean earlier = era < latestEra.accumulateAndGet(era, Math::max);
    if (earlier) {
      discarded.incrementAndGet();
    }
    return earlier;
  }

  private static Fault fault(Step step, String detail) {
    return new Fault(step, Peer.STORE, "", detail);
  }
}
