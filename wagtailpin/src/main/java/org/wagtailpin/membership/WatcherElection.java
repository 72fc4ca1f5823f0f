package org.wagtailpin.membership;

import java.util.Collection;

/**
 * Decides whether this entry watches the store for its failure domain: the lowest identifier of
 * those heard lately does. Two watchers at a time, while views differ, do no harm.
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

  // While the store is down for all, one entry still tries for all of its domain.
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
