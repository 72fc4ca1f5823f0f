package org.wagtailpin.store;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.TokenBucket;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/**
 * A store client that counts calls by kind and limits their rates to a budget.
 *
 * <p>A call above the budget is not sent to the store: a read or watch returns its {@code Failed}
 * result, a write or deletion {@link WriteResult.NotWritten}. Lease calls are counted but not
 * limited. Thread-safe.
 */
public final class RateLimitedStore implements Store {

  private static final String KIND = "kind";

  /** How long unspent calls may be saved up, in milliseconds. */
  private static final double BURST_MILLIS = 1_000;

  private final Store store;
  private final StoreBudget budget;
  private final TokenBucket reads;
  private final TokenBucket writes;
  private final Counter calls;
  private final Counter heldBack;

  /**
   * Creates a client whose budget is unspent.
   *
   * @param store the store to which calls within the budget are sent
   * @param clock the clock by which the budget is refilled
   * @param budget the rates allowed to this process, read again at each call
   * @param registry the registry for the call counters
   */
  public RateLimitedStore(
      Store store, Clock clock, StoreBudget budget, PrometheusRegistry registry) {
    this.store = store;
    this.budget = budget;
    this.reads = fullBucket(clock, budget.readsPerSecond());
    this.writes = fullBucket(clock, budget.writesPerSecond());
    this.calls =
        Counter.builder()
            .name("wagtailpin_store_calls_total")
            .help("Calls sent to the store.")
            .labelNames(KIND)
            .register(registry);
    this.heldBack =
        Counter.builder()
            .name("wagtailpin_store_calls_held_back_total")
            .help("Calls not sent to the store because the budget was spent.")
            .labelNames(KIND)
            .register(registry);
  }

  private static TokenBucket fullBucket(Clock clock, double perSecond) {
    return new TokenBucket(clock, BURST_MILLIS, Math.max(1, perSecond));
  }

  /**
   * Returns how many calls of a kind were sent to the store.
   *
   * @param kind the kind of call
   */
  public long sent(StoreCallKind kind) {
    return (long) calls.labelValues(kind.label()).get();
  }

  /**
   * Returns how many calls of a kind were not sent because the budget was spent.
   *
   * @param kind the kind of call; always 0 for leases
   */
  public long heldBack(StoreCallKind kind) {
    return (long) heldBack.labelValues(kind.label()).get();
  }

  @Override
  public CompletableFuture<ReadResult> read(String key) {
    return callWithinBudget(
        StoreCallKind.READ,
        () -> store.read(key),
        () -> new ReadResult.Failed(overBudget(Step.READ_STORE)));
  }

  @Override
  public CompletableFuture<ReadResult> readStale(String key, long timeoutMillis) {
    return callWithinBudget(
        StoreCallKind.READ,
        () -> store.readStale(key, timeoutMillis),
        () -> new ReadResult.Failed(overBudget(Step.READ_STORE)));
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return callWithinBudget(
        StoreCallKind.READ,
        () -> store.list(prefix),
        () -> new ListResult.Failed(overBudget(Step.READ_STORE)));
  }

  @Override
  public CompletableFuture<WriteResult> write(
      String key, byte[] value, WriteCondition condition, Optional<LeaseId> lease) {
    return callWithinBudget(
        StoreCallKind.WRITE,
        () -> store.write(key, value, condition, lease),
        () -> new WriteResult.NotWritten(overBudget(Step.WRITE_STORE)));
  }

  @Override
  public CompletableFuture<WriteResult> delete(String key, WriteCondition condition) {
    return callWithinBudget(
        StoreCallKind.WRITE,
        () -> store.delete(key, condition),
        () -> new WriteResult.NotWritten(overBudget(Step.WRITE_STORE)));
  }

  @Override
  public CompletableFuture<LeaseResult> grantLease(long ttlMillis) {
    return callLease(() -> store.grantLease(ttlMillis));
  }

  @Override
  public CompletableFuture<LeaseResult> renewLease(LeaseId lease) {
    return callLease(() -> store.renewLease(lease));
  }

  @Override
  public CompletableFuture<LeaseResult> revokeLease(LeaseId lease) {
    return callLease(() -> store.revokeLease(lease));
  }

  private CompletableFuture<LeaseResult> callLease(Supplier<CompletableFuture<LeaseResult>> call) {
    calls.labelValues(StoreCallKind.LEASE.label()).inc();
    return call.get();
  }

  @Override
  public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, long waitMillis) {
    return callWithinBudget(
        StoreCallKind.WATCH,
        () -> store.watch(prefix, afterRevision, waitMillis),
        () -> new WatchResult.Failed(overBudget(Step.WATCH_STORE)));
  }

  private <R> CompletableFuture<R> callWithinBudget(
      StoreCallKind kind, Supplier<CompletableFuture<R>> call, Supplier<R> overBudgetResult) {
    if (!tryAcquire(kind)) {
      heldBack.labelValues(kind.label()).inc();
      return CompletableFuture.completedFuture(overBudgetResult.get());
    }
    calls.labelValues(kind.label()).inc();
    return call.get();
  }

  private boolean tryAcquire(StoreCallKind kind) {
    return kind == StoreCallKind.WRITE
        ? writes.take(1, budget.writesPerSecond())
        : reads.take(1, budget.readsPerSecond());
  }

  private static Fault overBudget(Step step) {
    return new Fault(step, Peer.SELF, "", "the budget of store calls is spent");
  }
}
