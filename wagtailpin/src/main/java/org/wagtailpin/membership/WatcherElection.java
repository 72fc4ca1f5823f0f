package org.wagtailpin.membership;

import java.util.Collection;

/**
 * Elects the entry that watches the store for its failure domain: the one with the lowest
 * identifier among those heard recently. Two watchers at once, while the entries' views differ, are
 * harmless.
 */
final class WatcherElection {

  private final Member self;
  private final long suspicionTimeoutMillis;

  WatcherElection(Member self, long suspicionTimeoutMillis) {
    this.self = self;
    this.suspicionTimeoutMillis = suspicionTimeoutMillis;
  }

  boolean isElected(Collection<PeerRecord> peers, boolean storeReachable, long nowMillis) {
    return peers.stream().noneMatch(peer -> hasPriority(peer, storeReachable, nowMillis));
  }

  // A peer that cannot reach the store keeps its priority if this entry cannot either, so that one
  // entry of the domain keeps trying during an outage.
  private boolean hasPriority(PeerRecord peer, boolean storeReachable, long nowMillis) {
    return peer.id().compareTo(self.id()) < 0
        && peer.details().map(this::isInSameDomain).orElse(false)
        && peer.heardWithin(nowMillis, suspicionTimeoutMillis)
        && (peer.storeReachable() || !storeReachable)
        && !peer.leaving();
  }

  private boolean isInSameDomain(Member other) {
    return other.region().equals(self.region())
        && other.failureDomain().equals(self.failureDomain());
  }
}
