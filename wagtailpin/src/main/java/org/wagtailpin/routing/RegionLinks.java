package org.wagtailpin.routing;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigLink;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.limits.TokenBucket;
import org.wagtailpin.membership.LimitShares;

/** The links from this entry's region to others, and what this entry may move over them. */
final class RegionLinks {

  private static final double BURST_MILLIS = 200;

  private final String region;
  private final LimitShares shares;
  private final Clock clock;
  private final ConcurrentHashMap<String, TokenBucket> buckets = new ConcurrentHashMap<>();
  private volatile ConfigSnapshot snapshot;

  RegionLinks(String region, LimitShares shares, Clock clock, ConfigSnapshot snapshot) {
    this.region = region;
    this.shares = shares;
    this.clock = clock;
    this.snapshot = snapshot;
  }

  void update(ConfigSnapshot newSnapshot) {
    snapshot = newSnapshot;
  }

  /**
   * Tells whether a server is in this entry's region.
   *
   * @param serverRegion the server's region
   */
  boolean sameRegion(String serverRegion) {
    return region.equals(serverRegion);
  }

  /**
   * Takes this entry's share of the byte budget, if there is enough of it. A pair of regions of
   * which no link object tells has no budget to keep.
   *
   * @param otherRegion the other region
   * @param bytes what is to be moved
   */
  boolean tryTakeBytes(String otherRegion, double bytes) {
    if (sameRegion(otherRegion)) {
      return true;
    }
    Optional<ConfigLink> link = snapshot.link(region, otherRegion);
    if (link.isEmpty()) {
      return true;
    }
    double allowedBytesPerSecond = shares.share((double) link.get().bytesPerSecond());
    return buckets
        .computeIfAbsent(otherRegion, name -> new TokenBucket(clock, BURST_MILLIS))
        .take(bytes, allowedBytesPerSecond);
  }
}
