package org.wagtailpin.claims;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.Store;

/**
 * The store lease under which closed segments are written.
 *
 * <p>A lease is never renewed; a new one is requested once the current one is a minute old. A
 * segment therefore stays in the store for at least the claim window after it was written, and is
 * then deleted by the store when the lease ends.
 */
final class WindowLease {

  private static final long MAX_AGE_MILLIS = 60_000;
  private static final long TTL_MARGIN_MILLIS = 60_000;

  private final Store store;
  private final Clock clock;
  private final ControlLoop loop;
  private final ClaimCounters counters;
  private final long ttlMillis;
  private final List<Consumer<Optional<LeaseId>>> pendingCallbacks = new ArrayList<>();
  private Optional<LeaseId> lease = Optional.empty();
  private long requestedMillis;

  WindowLease(
      Store store, Clock clock, ControlLoop loop, ClaimCounters counters, long windowMillis) {
    this.store = store;
    this.clock = clock;
    this.loop = loop;
    this.counters = counters;
    this.ttlMillis = windowMillis + MAX_AGE_MILLIS + TTL_MARGIN_MILLIS;
  }

  /**
   * Passes a lease that lasts for at least the claim window from now, or empty if the store granted
   * none. The callback runs at once if the current lease is recent enough.
   */
  void acquire(Consumer<Optional<LeaseId>> callback) {
    if (isFresh()) {
      callback.accept(lease);
      return;
    }
    pendingCallbacks.add(callback);
    if (pendingCallbacks.size() > 1) {
      return;
    }
    long requestMillis = clock.millis();
    counters.countLease();
    Continuation.attach(
        store.grantLease(ttlMillis),
        result -> loop.execute(() -> handleResult(result, requestMillis)));
  }

  private boolean isFresh() {
    return lease.isPresent() && clock.millis() - requestedMillis < MAX_AGE_MILLIS;
  }

  private void handleResult(LeaseResult result, long requestMillis) {
    lease = Optional.empty();
    if (result instanceof LeaseResult.Held held) {
      lease = Optional.of(held.lease());
      requestedMillis = requestMillis;
    }
    // A lease is too old to use if its grant was received only after a long pause.
    Optional<LeaseId> usable = isFresh() ? lease : Optional.empty();
    List<Consumer<Optional<LeaseId>>> callbacks = List.copyOf(pendingCallbacks);
    pendingCallbacks.clear();
    callbacks.forEach(callback -> callback.accept(usable));
  }

  /** Discards the lease, so that the next use requests a new one. */
  void discard() {
    lease = Optional.empty();
  }
}
