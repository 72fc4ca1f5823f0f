package org.wagtailpin.membership;

import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.LeaseId;
import org.wagtailpin.store.LeaseResult;
import org.wagtailpin.store.Store;

/**
 * Keeps a lease in the store, and a key under it.
 *
 * <p>The holder counts the lease from the moment at which the call that granted or renewed it was
 * sent, by the monotonic clock, less a margin; so the holder's lease ends before the store's. A
 * lease that lapsed is replaced by a new one. Runs on the control loop.
 */
public final class LeaseKeeper {

  private static final int RENEWALS_PER_TTL = 3;
  private static final double JITTER = 0.1;
  private static final long NOT_HELD = Long.MIN_VALUE;

  private final Store store;
  private final ControlLoop loop;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final OwnKey key;
  private final MembershipSettings settings;
  private final Backoff backoff;
  private Optional<LeaseId> lease = Optional.empty();
  private boolean keyWritten;
  private boolean storeReachable;
  private Consumer<Boolean> reachability = reachable -> {};
  private Optional<Boolean> toldReachable = Optional.empty();
  private boolean stopped;
  private long endMillis = NOT_HELD;

  /**
   * Creates a keeper that has not begun.
   *
   * @param store where the lease is kept
   * @param loop runs the calls
   * @param clock counts the lease
   * @param random spreads the calls
   * @param self what the key tells
   * @param settings the lease's length and margin
   */
  public LeaseKeeper(
      Store store,
      ControlLoop loop,
      Clock clock,
      UniformRandomProvider random,
      Member self,
      MembershipSettings settings) {
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.key = new OwnKey(store, loop, EntryKeys.leased(self.id()), self);
    this.settings = settings;
    this.backoff = new Backoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), random);
  }

  /**
   * Has changes of the store's reachability told. Renewals are frequent, so they are the first to
   * show that the store or the connections to it are gone.
   *
   * @param listener told whether the store answers, on the control loop
   */
  public void onReachability(Consumer<Boolean> listener) {
    reachability = listener;
  }

  private void tellReachable() {
    boolean changed = toldReachable.isPresent() && toldReachable.get() != storeReachable;
    toldReachable = Optional.of(storeReachable);
    if (changed) {
      reachability.accept(storeReachable);
    }
  }

  /** Begins to keep the lease. */
  public void start() {
    loop.execute(this::step);
  }

  /** Stops renewing; the lease lapses in its time. */
  public void stop() {
    stopped = true;
    endMillis = NOT_HELD;
  }

  /** Stops renewing and ends the lease; the key goes with it. */
  public void end() {
    stop();
    lease.ifPresent(
        held -> {
          var unused = store.revokeLease(held);
        });
  }

  /**
   * Returns until when the lease and its key are held, by the monotonic clock in milliseconds;
   * {@link Long#MIN_VALUE} if they are not.
   */
  public long heldUntilMillis() {
    return keyWritten ? endMillis : NOT_HELD;
  }

  /** Tells whether the store answered the newest call. */
  public boolean storeReachable() {
    return storeReachable;
  }

  private void step() {
    if (stopped) {
      return;
    }
    long sentMillis = clock.millis();
    if (lease.isEmpty()) {
      LoopCallbacks.onLoop(
          loop,
          store.grantLease(settings.leaseTtlMillis()),
          result -> answered(result, sentMillis));
    } else {
      LoopCallbacks.onLoop(
          loop, store.renewLease(lease.get()), result -> answered(result, sentMillis));
    }
  }

  private void answered(LeaseResult result, long sentMillis) {
    if (stopped) {
      return;
    }
    storeReachable = !(result instanceof LeaseResult.Failed);
    tellReachable();
    if (result instanceof LeaseResult.Held held) {
      lease = Optional.of(held.lease());
      endMillis = sentMillis + held.ttlMillis() - settings.leaseMarginMillis();
      ensureKey(held.lease());
    } else if (result instanceof LeaseResult.Lapsed) {
      lease = Optional.empty();
      keyWritten = false;
      endMillis = NOT_HELD;
      retryLater();
    } else {
      retryLater();
    }
  }

  private void ensureKey(LeaseId held) {
    if (keyWritten) {
      renewLater();
      return;
    }
    key.write(
        Optional.of(held),
        outcome -> {
          keyWritten = outcome == OwnKey.Outcome.WRITTEN && lease.equals(Optional.of(held));
          if (keyWritten) {
            renewLater();
          } else {
            retryLater();
          }
        });
  }

  private void renewLater() {
    backoff.reset();
    double period = (double) settings.leaseTtlMillis() / RENEWALS_PER_TTL;
    double jitter = 1 - JITTER + 2 * JITTER * random.nextDouble();
    loop.schedule((long) (period * jitter), this::step);
  }

  private void retryLater() {
    loop.schedule(backoff.nextMillis(), this::step);
  }
}
