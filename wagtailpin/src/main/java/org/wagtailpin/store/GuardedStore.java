package org.wagtailpin.store;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.tinylog.Logger;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ScheduledTask;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/**
 * A store client of which each call ends in a result, whatever the client that it wraps does.
 *
 * <p>A call that throws an exception or error, whose future completes exceptionally or without a
 * result, or that does not end in time becomes a failure. Callers that continue with the result of
 * a call, as a watch does, therefore never stop. Thread-safe.
 */
public final class GuardedStore implements Store {

  private final Store store;
  private final ControlLoop loop;
  private final long maxCallMillis;

  /**
   * Creates a client.
   *
   * @param store the client to which all calls are passed on
   * @param loop runs the time-outs
   * @param maxCallMillis the time after which a call is a failure, in milliseconds, longer than the
   *     timeouts of the wrapped client; for a watch, its wait time is added
   */
  public GuardedStore(Store store, ControlLoop loop, long maxCallMillis) {
    this.store = store;
    this.loop = loop;
    this.maxCallMillis = maxCallMillis;
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return call(() -> store.read(key), Step.READ_STORE, maxCallMillis, ReadResult.Failed::new);
  }

  @Override
  public CompletableFuture<ReadResult> readStale(String key, long timeoutMillis) {
    return call(
        () -> store.readStale(key, timeoutMillis),
        Step.READ_STORE,
        maxCallMillis,
        ReadResult.Failed::new);
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return call(() -> store.list(prefix), Step.READ_STORE, maxCallMillis, ListResult.Failed::new);
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    return call(
        () -> store.write(key, value, condition, lease),
        Step.WRITE_STORE,
        maxCallMillis,
        WriteResult.Unknown::new);
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return call(
        () -> store.delete(key, condition),
        Step.WRITE_STORE,
        maxCallMillis,
        WriteResult.Unknown::new);
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return lease(() -> store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return lease(() -> store.renewLease(lease));
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return lease(() -> store.revokeLease(lease));
  }

  private CompletableFuture<LeaseResult> lease(Supplier<CompletableFuture<LeaseResult>> call) {
    return call(call, Step.KEEP_LEASE, maxCallMillis, LeaseResult.Failed::new);
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    return call(
        () -> store.watch(prefix, afterRevision, waitMillis),
        Step.WATCH_STORE,
        waitMillis + maxCallMillis,
        WatchResult.Failed::new);
  }

  private <R> CompletableFuture<R> call(
      Supplier<CompletableFuture<R>> call,
      Step step,
      long maxMillis,
      Function<Fault, R> failureResult) {
    CompletableFuture<R> guarded = new CompletableFuture<>();
    try {
      CompletableFuture<R> answer = call.get();
      if (!answer.isDone()) {
        ScheduledTask timeOut =
            loop.schedule(
                maxMillis,
                () -> guarded.complete(failureResult.apply(fault(step, "the call did not end"))));
        var unused = guarded.whenComplete((result, error) -> timeOut.cancel());
      }
      var unused =
          answer.whenComplete(
              (result, error) ->
                  guarded.complete(
                      result != null ? result : failureResult.apply(fault(step, error))));
    } catch (RuntimeException | Error e) {
      guarded.complete(failureResult.apply(fault(step, e)));
    }
    return guarded;
  }

  private static Fault fault(Step step, Throwable error) {
    if (error == null) {
      return fault(step, "the call ended without a result");
    }
    Logger.error(error, "a call of the store client failed with an exception");
    return fault(step, error.toString());
  }

  private static Fault fault(Step step, String detail) {
    return new Fault(step, Peer.STORE, "", detail);
  }
}
