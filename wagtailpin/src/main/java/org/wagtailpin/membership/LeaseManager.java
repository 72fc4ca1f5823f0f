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
 * Keeps a lease in the store, and a key attached to it.
 *
 * <p>The holder counts the lease from the time at which it sent the call that granted or renewed
 * it, by the monotonic clock and less a margin, so that the lease ends for the holder before it
 * expires in the store. A lapsed lease is replaced by a new one. Confined to the control loop.
 */
public final class LeaseManager {

  private static final int RENEWALS_PER_TTL = 3;
  private static final double RENEWAL_JITTER = 0.1;
  private static final long NOT_HELD = Long.MIN_VALUE;

  private final Store store;
  private final ControlLoop loop;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final EntryKeyWriter keyWriter;
  private final MembershipSettings settings;
  private final Backoff backoff;
  private Optional<LeaseId> lease = Optional.empty();
  private boolean keyWritten;
  private boolean storeReachable;
  private Consumer<Boolean> reachabilityListener = reachable -> {};
  private Runnable eraListener = () -> {};
  private Optional<Long> era = Optional.empty();
  private Optional<Boolean> lastNotifiedReachable = Optional.empty();
  private boolean stopped;
  private long leaseEndMillis = NOT_HELD;

  /**
   * Creates a manager that makes no call before {@link #start}.
   *
   * @param store where the lease is kept
   * @param loop runs timers and the handling of results
   * @param clock measures the lease
   * @param random jitter of renewals and retries
   * @param self this entry, described in the key's value
   * @param settings time to live and margin of the lease, and backoff of retries
   */
  public LeaseManager(
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
    this.keyWriter = new EntryKeyWriter(store, loop, EntryKeys.leaseKey(self.id()), self);
    this.settings = settings;
    this.backoff = new Backoff(settings.minBackoffMillis(), settings.maxBackoffMillis(), random);
  }

  /**
   * Sets the listener for changes of the store's reachability. Renewals are frequent, so they are
   * the first calls to fail when the store or the connections to it are lost.
   *
   * @param listener called on the control loop with whether the store answers
   */
  public void setReachabilityListener(Consumer<Boolean> listener) {
    reachabilityListener = listener;
  }

  /**
   * Sets the listener for a restore of the store from an older copy, after which it assigns leases
   * of a later era.
   *
   * @param listener called on the control loop
   */
  void setEraListener(Runnable listener) {
    eraListener = listener;
  }

  private void observeEra(long observed) {
    boolean later = era.filter(known -> observed > known).isPresent();
    era = Optional.of(observed);
    if (later) {
      eraListener.run();
    }
  }

  private void notifyReachability() {
    boolean changed =
        lastNotifiedReachable.isPresent() && lastNotifiedReachable.get() != storeReachable;
    lastNotifiedReachable = Optional.of(storeReachable);
    if (changed) {
      reachabilityListener.accept(storeReachable);
    }
  }

  /** Starts to acquire and renew the lease. */
  public void start() {
    loop.execute(this::grantOrRenew);
  }

  /** Stops renewing; the lease expires after its time to live. */
  public void stop() {
    stopped = true;
    leaseEndMillis = NOT_HELD;
  }

  /** Stops renewing and revokes the lease, which also deletes its key. */
  public void revoke() {
    stop();
    lease.ifPresent(
        held -> {
          var unused = store.revokeLease(held);
        });
  }

  /**
   * Returns until when the lease and its key are held, in milliseconds of the monotonic clock;
   * {@link Long#MIN_VALUE} if they are not held.
   */
  public long heldUntilMillis() {
    return keyWritten ? leaseEndMillis : NOT_HELD;
  }

  /** Returns whether the store answered the newest lease call; false before the first answer. */
  public boolean storeReachable() {
    return storeReachable;
  }

  private void grantOrRenew() {
    if (stopped) {
      return;
    }
    long sentMillis = clock.millis();
    if (lease.isEmpty()) {
      LoopCallbacks.onLoop(
          loop,
          store.grantLease(settings.leaseTtlMillis()),
          result -> onLeaseResult(result, sentMillis));
    } else {
      LoopCallbacks.onLoop(
          loop, store.renewLease(lease.get()), result -> onLeaseResult(result, sentMillis));
    }
  }

  private void onLeaseResult(LeaseResult result, long sentMillis) {
    if (stopped) {
      return;
    }
    storeReachable = !(result instanceof LeaseResult.Failed);
    notifyReachability();
    if (result instanceof LeaseResult.Held held) {
      observeEra(held.lease().era());
      lease = Optional.of(held.lease());
      leaseEndMillis = sentMillis + held.ttlMillis() - settings.leaseMarginMillis();
      ensureKey(held.lease());
    } else if (result instanceof LeaseResult.Lapsed) {
      lease = Optional.empty();
      keyWritten = false;
      leaseEndMillis = NOT_HELD;
      scheduleRetry();
    } else {
      scheduleRetry();
    }
  }

  private void ensureKey(LeaseId held) {
    if (keyWritten) {
      scheduleRenewal();
      return;
    }
    keyWriter.write(
        Optional.of(held),
        outcome -> {
          keyWritten = outcome == EntryKeyWriter.Outcome.WRITTEN && lease.equals(Optional.of(held));
          if (keyWritten) {
            scheduleRenewal();
          } else {
            scheduleRetry();
          }
        });
  }

  private void scheduleRenewal() {
    backoff.reset();
    double period = (double) settings.leaseTtlMillis() / RENEWALS_PER_TTL;
    double jitter = 1 - RENEWAL_JITTER + 2 * RENEWAL_JITTER * random.nextDouble();
    loop.schedule((long) (period * jitter), this::grantOrRenew);
  }

  private void scheduleRetry() {
    loop.schedule(backoff.nextMillis(), this::grantOrRenew);
  }
}
