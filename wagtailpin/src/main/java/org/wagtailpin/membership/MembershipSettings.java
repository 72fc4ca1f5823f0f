package org.wagtailpin.membership;

/**
 * Timing of membership and split of limits. All entries of a fleet use the same values.
 *
 * @param heartbeatMillis the time between heartbeats to one peer, in milliseconds, at least 10
 * @param promiseMillis how long an entry promises to count a peer from which it has received a
 *     heartbeat, in milliseconds
 * @param promiseMarginMillis how much longer than promised the peer is counted, in milliseconds, to
 *     allow for clocks that run at different rates
 * @param leaseTtlMillis the time to live of the lease in the store, in milliseconds, at least 100
 * @param leaseMarginMillis how much earlier than the store the holder regards its lease as expired,
 *     in milliseconds
 * @param watchWaitMillis how long one watch call waits for changes in the store, in milliseconds
 * @param minBackoffMillis the pause after the first failed call to the store, in milliseconds
 * @param maxBackoffMillis the longest pause between calls to the store, in milliseconds
 * @param suspicionTimeoutMillis after how long a silence a peer is suspected to have failed, and
 *     another one watches the store in its place, in milliseconds
 * @param goneTimeoutMillis how long an entry must be silent before a host list that reports its
 *     host as gone is acted on, in milliseconds
 * @param guaranteedFraction the part of each limit that is split over all registered entries, 0 to
 *     1; the rest is split over the live entries
 */
public record MembershipSettings(
    long heartbeatMillis,
    long promiseMillis,
    long promiseMarginMillis,
    long leaseTtlMillis,
    long leaseMarginMillis,
    long watchWaitMillis,
    long minBackoffMillis,
    long maxBackoffMillis,
    long suspicionTimeoutMillis,
    long goneTimeoutMillis,
    double guaranteedFraction) {

  private static final long HEARTBEAT_MILLIS = 1000;
  private static final long PROMISE_MILLIS = 5000;
  private static final long PROMISE_MARGIN_MILLIS = 500;
  private static final long LEASE_TTL_MILLIS = 10_000;
  private static final long LEASE_MARGIN_MILLIS = 500;
  private static final long WATCH_WAIT_MILLIS = 2000;
  private static final long MIN_BACKOFF_MILLIS = 250;
  private static final long MAX_BACKOFF_MILLIS = 4000;
  private static final long SUSPICION_TIMEOUT_MILLIS = 3000;
  private static final long GONE_TIMEOUT_MILLIS = 30_000;
  private static final double GUARANTEED_FRACTION = 0.5;

  private static final long SPARSE_HEARTBEAT_MILLIS = 4_000;
  private static final long SPARSE_PROMISE_MILLIS = 13_000;
  private static final long SPARSE_LEASE_TTL_MILLIS = 5_000;
  private static final long SPARSE_WATCH_WAIT_MILLIS = 20_000;
  private static final long SPARSE_SUSPICION_TIMEOUT_MILLIS = 9_000;
  private static final long SPARSE_BACKOFF_MILLIS = 1_000;

  /**
   * Returns settings for entries that each follow the store and depend on one another only while
   * the store is unreachable: fewer heartbeats and store calls, and slower detection of failures.
   */
  public static MembershipSettings sparse() {
    return new MembershipSettings(
        SPARSE_HEARTBEAT_MILLIS,
        SPARSE_PROMISE_MILLIS,
        PROMISE_MARGIN_MILLIS,
        SPARSE_LEASE_TTL_MILLIS,
        LEASE_MARGIN_MILLIS,
        SPARSE_WATCH_WAIT_MILLIS,
        SPARSE_BACKOFF_MILLIS,
        SPARSE_BACKOFF_MILLIS,
        SPARSE_SUSPICION_TIMEOUT_MILLIS,
        GONE_TIMEOUT_MILLIS,
        GUARANTEED_FRACTION);
  }

  /** Returns the settings for entries that rely on one another for changes in the store. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        HEARTBEAT_MILLIS,
        PROMISE_MILLIS,
        PROMISE_MARGIN_MILLIS,
        LEASE_TTL_MILLIS,
        LEASE_MARGIN_MILLIS,
        WATCH_WAIT_MILLIS,
        MIN_BACKOFF_MILLIS,
        MAX_BACKOFF_MILLIS,
        SUSPICION_TIMEOUT_MILLIS,
        GONE_TIMEOUT_MILLIS,
        GUARANTEED_FRACTION);
  }
}
