package org.wagtailpin.routing;

import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.TokenBucket;
import org.wagtailpin.config.ConfigLink;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.membership.LimitShares;

/** The links from this entry's region to others, with this entry's share of their byte budgets. */
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
   * Returns whether a server is in this entry's region.
   *
   * @param serverRegion the server's region
   */
  boolean sameRegion(String serverRegion) {
    return region.equals(serverRegion);
  }

  /**
   * Takes bytes from this entry's share of the byte budget of a link; returns false if too few are
   * left. A pair of regions without a link object in the configuration has no budget, so that all
   * bytes are allowed.
   *
   * @param otherRegion the other region
   * @param bytes the number of bytes to transfer
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
