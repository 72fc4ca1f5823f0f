package org.wagtailpin.limits;

import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.clock.TokenBucket;
import org.wagtailpin.membership.LimitShares;

/**
 * This entry's share of the load probes that one ticket allows to all entries: for each server, for
 * each pair of regions and for the whole entry. A probe is sent only if all three budgets allow it.
 * Safe for all threads, without locks.
 */
public final class ProbeBudget {

  private static final double BURST_MILLIS = 1000;

  /** Probes that an entry may send right after its start, before tokens have accumulated. */
  private static final double INITIAL_PROBES = 100;

  /**
   * The maximum rates, in probes per second.
   *
   * @param perServer the rate to one server from all entries, at least 0
   * @param perLink the rate between one pair of regions from all entries, at least 0
   * @param perEntry the rate of one entry, at least 0
   */
  public record Rates(double perServer, double perLink, double perEntry) {}

  private final LimitShares shares;
  private final TokenBucket entryBucket;
  private final Clock clock;
  private final ConcurrentHashMap<String, TokenBucket> serverBuckets = new ConcurrentHashMap<>();
  private final ConcurrentHashMap<String, TokenBucket> linkBuckets = new ConcurrentHashMap<>();

  /**
   * Creates a budget that holds the initial probes of an entry.
   *
   * @param clock the clock
   * @param shares this entry's share of fleet-wide limits
   */
  public ProbeBudget(Clock clock, LimitShares shares) {
    this.clock = clock;
    this.shares = shares;
    // The first probe of a server must not wait until tokens have accumulated.
    this.entryBucket = new TokenBucket(clock, BURST_MILLIS, INITIAL_PROBES);
  }

  /**
   * Takes one probe from the budgets. A token that was taken from one budget before another refused
   * is lost, so that the total errs on the side of fewer probes.
   *
   * @param server the name of the server
   * @param region the region of the server, for the link to it
   * @param sameRegion whether the server is in this entry's region, so that no link is used
   * @param rates the rates in force
   * @return whether the probe may be sent
   */
  public boolean take(String server, String region, boolean sameRegion, Rates rates) {
    if (!entryBucket.take(1, rates.perEntry())) {
      return false;
    }
    if (!sameRegion && !bucket(linkBuckets, region).take(1, shares.share(rates.perLink()))) {
      return false;
    }
    TokenBucket serverBucket =
        serverBuckets.computeIfAbsent(server, name -> new TokenBucket(clock, BURST_MILLIS, 1));
    return serverBucket.take(1, shares.share(rates.perServer()));
  }

  private TokenBucket bucket(ConcurrentHashMap<String, TokenBucket> buckets, String name) {
    return buckets.computeIfAbsent(name, key -> new TokenBucket(clock, BURST_MILLIS));
  }
}
