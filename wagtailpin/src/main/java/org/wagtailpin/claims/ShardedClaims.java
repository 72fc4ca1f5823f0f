package org.wagtailpin.claims;

import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ScheduledTask;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.membership.MembershipSource;
import org.wagtailpin.store.Store;

/**
 * Claims that the owner of the key's shard records in the store, in batches.
 *
 * <p>Each shard of the key space is a log in the store. The head of the log, its newest segment, is
 * a single key that changes only by compare-and-swap. A claim is granted once the store is known to
 * have accepted the batch that contains it. Shard owners are derived from the live members, and
 * ownership only affects performance: if two entries write to the same log, the store refuses the
 * one with the outdated copy.
 *
 * <p>While the store is down, claims end in {@link ClaimResult.Unavailable} after at most {@link
 * ClaimSettings#maxClaimWaitMillis()}. All state is confined to the control loop; the public
 * methods may be called from any thread.
 */
public final class ShardedClaims implements Claims {

  private static final long FLUSH_POLL_MILLIS = 10;

  private final ClaimContext context;
  private final OwnedShards ownedShards;
  private final ControlLoop loop;
  private final ClaimCounters counters = new ClaimCounters();

  /**
   * Creates the claims of one entry and registers its handlers with the messenger.
   *
   * @param settings the settings, with the same number of shards in all entries
   * @param incarnation a number that is new at each start of this entry
   * @param store the platform's store
   * @param messenger the messenger to other entries, not yet started
   * @param membership the source of the live entries, from which shard owners are derived
   * @param clock the clock for deadlines, the claim window and rate limits
   * @param loop the control loop on which the messenger runs its handlers
   * @param random the source of jitter for retries; used on the control loop only
   */
  public ShardedClaims(
      ClaimSettings settings,
      long incarnation,
      Store store,
      PeerMessenger messenger,
      MembershipSource membership,
      Clock clock,
      ControlLoop loop,
      UniformRandomProvider random) {
    ShardOwners owners = new ShardOwners(membership);
    AttemptSequence attempts = new AttemptSequence(messenger.self(), incarnation);
    DispatchRecords records = new DispatchRecords(settings, clock, loop);
    this.loop = loop;
    this.ownedShards =
        new OwnedShards(settings, attempts, store, owners, clock, loop, random, counters);
    ClaimPeers peers = new ClaimPeers(messenger, ownedShards, records);
    ReleaseSender releases = new ReleaseSender(owners, peers, loop);
    this.context = new ClaimContext(settings, owners, attempts, records, peers, releases, clock);
    peers.registerHandlers();
  }

  /** Returns the live counters of this entry, the same instance on each call. */
  public ClaimCounters counters() {
    return counters;
  }

  @Override
  public CompletableFuture<ClaimResult> claim(ClaimKey key, long fingerprint, long deadlineMillis) {
    ClaimCall call = new ClaimCall(key, fingerprint, deadlineMillis, shard(key), context);
    loop.execute(call::start);
    return call.result();
  }

  @Override
  public void settle(ClaimToken token, ClaimSettlement settlement) {
    loop.execute(() -> settleNow(token, settlement));
  }

  private void settleNow(ClaimToken token, ClaimSettlement settlement) {
    DispatchRecords records = context.records();
    if (settlement instanceof ClaimSettlement.Answered answered) {
      records.finish(token.attempt(), new HeldOutcome.Held(answered.answer()));
    } else if (settlement instanceof ClaimSettlement.NotRun) {
      records.finish(token.attempt(), new HeldOutcome.NotRun());
      context.releases().send(token.key(), shard(token.key()), token.attempt());
    } else {
      records.finish(token.attempt(), new HeldOutcome.NotHeld());
    }
  }

  private int shard(ClaimKey key) {
    return KeyHash.of(key).shard(context.settings().shards());
  }

  /**
   * Waits until the claims and releases that this entry accepted are written. Called when the entry
   * leaves.
   *
   * @param waitMillis the maximum time to wait, in milliseconds
   * @return whether everything was written in time
   */
  public CompletableFuture<Boolean> flush(long waitMillis) {
    CompletableFuture<Boolean> flushed = new CompletableFuture<>();
    long flushDeadlineMillis = context.clock().millis() + waitMillis;
    loop.execute(() -> awaitIdle(flushDeadlineMillis, flushed));
    return flushed;
  }

  private void awaitIdle(long flushDeadlineMillis, CompletableFuture<Boolean> flushed) {
    if (ownedShards.idle() || context.clock().millis() >= flushDeadlineMillis) {
      flushed.complete(ownedShards.idle());
      return;
    }
    ScheduledTask unused =
        loop.schedule(FLUSH_POLL_MILLIS, () -> awaitIdle(flushDeadlineMillis, flushed));
  }
}
