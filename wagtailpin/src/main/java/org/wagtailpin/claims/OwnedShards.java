package org.wagtailpin.claims;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.store.Store;

/** The shards that this entry owns by its view, and those it stands in for. */
final class OwnedShards {

  private final ClaimSettings settings;
  private final AttemptSequence attempts;
  private final Store store;
  private final ShardOwners owners;
  private final Clock clock;
  private final ControlLoop loop;
  private final UniformRandomProvider random;
  private final ClaimCounters counters;
  private final WindowLease lease;
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
  }

  /**
   * Claims a key if this entry owns its shard.
   *
   * @param ownerUnreachable whether the claimant could not send the claim to the owner
   */
  CompletableFuture<ClaimVerdict> claim(
      KeyHash key, long fingerprint, String attempt, long waitMillis, boolean ownerUnreachable) {
    int shard = key.shard(settings.shards());
    if (!serves(shard, ownerUnreachable)) {
      return CompletableFuture.completedFuture(new ClaimVerdict.NotOwner());
    }
    return shard(shard).claim(key, fingerprint, attempt, waitMillis);
  }

  /** Frees a key; tells whether this entry takes care of it. */
  boolean release(KeyHash key, String attempt) {
    int shard = key.shard(settings.shards());
    if (!shards.containsKey(shard) && !serves(shard, false)) {
      return false;
    }
    shard(shard).release(key, attempt);
    return true;
  }

  /** Tells whether nothing waits and nothing is being written. */
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

  // What another entry writes meanwhile is unknown here, so a shard that comes back is read anew.
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
            log,
            settings.maxSegmentBytes(),
            clock,
            loop,
            new Backoff(random),
            counters);
    return new ClaimShard(
        settings, log, writer, () -> attempts.next().text(), clock, loop, counters);
  }
}
