package org.wagtailpin.membership;

import java.util.Collection;

/**
 * Decides whether this entry watches the store for its failure domain: the lowest identifier of
 * those heard lately does. Two watchers at a time, while views differ, do no harm.
 */
final class WatcherElection {

  private final Member self;
  private final long silenceMillis;

  WatcherElection(Member self, long silenceMillis) {
    this.self = self;
    this.silenceMillis = silenceMillis;
  }

  boolean elected(Collection<PeerRecord> peers, boolean storeReachable, long nowMillis) {
    return peers.stream().noneMatch(peer -> comesFirst(peer, storeReachable, nowMillis));
  }

  // While the store is down for all, one entry still tries for all of its domain.
  private boolean comesFirst(PeerRecord peer, boolean storeReachable, long nowMillis) {
    return peer.id().compareTo(self.id()) < 0
        && peer.details().map(this::isOfThisDomain).orElse(false)
        && peer.heardWithin(nowMillis, silenceMillis)
        && (peer.storeReachable() || !storeReachable)
        && !peer.leaving();
  }

  private boolean isOfThisDomain(Member other) {
    return other.region().equals(self.region())
        && other.failureDomain().equals(self.failureDomain());
  }
}
