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
 * The lease that closed segments end with.
 *
 * <p>A new lease is asked for when the last one is a minute old and never renewed, so whatever was
 * claimed before it is used stays for the window at least, and then goes by itself.
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

  /** Gives a lease that outlasts the window from now, or empty if the store gives none. */
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
    // An answer that arrives after a long pause is of no use.
    Optional<LeaseId> usable = isFresh() ? lease : Optional.empty();
    List<Consumer<Optional<LeaseId>>> callbacks = List.copyOf(pendingCallbacks);
    pendingCallbacks.clear();
    callbacks.forEach(callback -> callback.accept(usable));
  }

  /** Drops the lease, so that the next use asks for a new one. */
  void discard() {
    lease = Optional.empty();
  }
}
