package org.wagtailpin.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.Backoff;
import org.wagtailpin.store.Store;

/**
 * The shards for which this entry records claims: those it owns in its membership view, and those
 * it serves as backup owner. Used on the control loop only.
 */
final class OwnedShards {

  private static final long FIRST_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 3_000;

  private final ClaimSettings settings;
  private final AttemptSequence attempts;
  private final Store store;
  private final ShardOwners owners;
  private final Clock clock;
  private final ControlLoop loop;
  private final UniformRandomProvider random;
  private final ClaimCounters counters;
  private final WindowLease lease;
  private final RestoreBarrier barrier;
  private final Map<Integer, ClaimShard> shards = new HashMap<>();
  private long viewVersion;

  OwnedShards(
      ClaimSettings settings,
      AttemptSequence attempts,
      Store store,
      ShardOwners owners,
      Clock clock,
      ControlLoop loop,
      UniformRandomProvider random,
      ClaimCounters counters) {
    this.settings = settings;
    this.attempts = attempts;
    this.store = store;
    this.owners = owners;
    this.clock = clock;
    this.loop = loop;
    this.random = random;
    this.counters = counters;
    this.lease = new WindowLease(store, clock, loop, counters, settings.windowMillis());
    this.barrier = new RestoreBarrier(clock, settings.windowMillis());
  }

  /**
   * Claims a key, or returns {@link ClaimVerdict.NotOwner} if this entry does not serve its shard.
   *
   * @param ownerUnreachable whether the claimant could not send the claim to the owner, so that the
   *     backup owner may record it
   */
  CompletableFuture<ClaimVerdict> claim(
      KeyHash key, long fingerprint, String attempt, long waitMillis, boolean ownerUnreachable) {
    int shard = key.shard(settings.shards());
    if (!serves(shard, ownerUnreachable)) {
      return CompletableFuture.completedFuture(new ClaimVerdict.NotOwner());
    }
    return shard(shard).claim(key, fingerprint, attempt, waitMillis);
  }

  /**
   * Releases a key that an attempt holds.
   *
   * @return whether this entry accepted the release; false if it does not serve the key's shard
   */
  boolean release(KeyHash key, String attempt) {
    int shard = key.shard(settings.shards());
    if (!shards.containsKey(shard) && !serves(shard, false)) {
      return false;
    }
    shard(shard).release(key, attempt);
    return true;
  }

  /** Returns whether no claim or release is queued and no store call is in flight. */
  boolean idle() {
    return shards.values().stream().allMatch(ClaimShard::idle);
  }

  private boolean serves(int shard, boolean ownerUnreachable) {
    String self = owners.view().self();
    return isSelf(owners.owner(shard), self)
        || (ownerUnreachable && isSelf(owners.backupOwner(shard), self));
  }

  private static boolean isSelf(Optional<String> entry, String self) {
    return entry.isPresent() && entry.get().equals(self);
  }

  private ClaimShard shard(int shard) {
    discardLostShards();
    return shards.computeIfAbsent(shard, this::createShard);
  }

  // The writes of another owner are not seen here, so the log of a shard that is owned again later
  // must be loaded anew.
  private void discardLostShards() {
    if (owners.view().version() == viewVersion) {
      return;
    }
    viewVersion = owners.view().version();
    shards.entrySet().removeIf(each -> each.getValue().idle() && !serves(each.getKey(), false));
  }

  private ClaimShard createShard(int shard) {
    ShardStore shardStore = new ShardStore(store, loop, counters, shard);
    ShardLog log = new ShardLog(settings.windowMillis());
    ShardWriter writer =
        new ShardWriter(
            shardStore,
            new SegmentArchive(shardStore, lease),
            barrier,
            log,
            settings.maxSegmentBytes(),
            clock,
            loop,
            new Backoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random),
            counters);
    return new ClaimShard(
        settings, log, writer, () -> attempts.next().text(), clock, loop, counters);
  }
}
