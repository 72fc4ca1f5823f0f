package org.wagtailpin.config;

import java.util.Optional;

/**
 * A parameter of routing and admission that a ticket can change.
 *
 * <p>Each has a unit, a range and a default. A {@link ConfigLimit} sets values for one service or
 * for all services.
 */
public enum Tunable {
  /** Retries and hedges allowed, as a fraction of first attempts. */
  RETRY_SHARE("retryShare", "share", 0, 1, 0.1),
  /** Maximum number of retries that the retry budget of a service accumulates in one entry. */
  RETRY_BURST("retryBurst", "attempts", 0, 1000, 10),
  /** As {@link #RETRY_BURST}, but divided among all entries; 0 to bound each entry separately. */
  FLEET_RETRY_BURST("fleetRetryBurst", "attempts", 0, 1_000_000, 0),
  /** Base of the exponential backoff: the maximum delay doubles with each further retry. */
  RETRY_BACKOFF_MILLIS("retryBackoffMillis", "ms", 0, 60_000, 5),
  /** Delay of a hedge, in multiples of the 95th percentile of the route's attempt times. */
  HEDGE_DELAY("hedgeDelay", "factor", 0.1, 1000, 1),
  /** Maximum number of attempts of one call, including the first. */
  MAX_ATTEMPTS("maxAttempts", "attempts", 1, 10, 3),
  /** Maximum time that a call is queued for a server, unless its route may wait. */
  MAX_QUEUE_MILLIS("maxQueueMillis", "ms", 0, 600_000, 1000),
  /** Number of servers in the entry's own region that a placement decision compares. */
  CANDIDATES("candidates", "servers", 1, 1000, 3),
  /** Number of servers in other regions that a placement decision compares. */
  FAR_CANDIDATES("farCandidates", "servers", 0, 1000, 2),
  /** Cost per KiB transferred to or from another failure domain, in addition to the delay. */
  DOMAIN_MILLIS_PER_KIB("domainMillisPerKib", "ms", 0, 60_000, 0),
  /** Cost per KiB transferred to or from another region, in addition to the delay. */
  REGION_MILLIS_PER_KIB("regionMillisPerKib", "ms", 0, 60_000, 0),
  /** Maximum number of servers whose load is probed at once before placement; 0 for none. */
  PROBES_PER_ROUND("probesPerRound", "servers", 0, 100, 0),
  /** Maximum time that a call waits for load reports. */
  PROBE_MILLIS("probeMillis", "ms", 0, 10_000, 30),
  /** Age below which a load report is used without probing the server again. */
  REPORT_FRESH_MILLIS("reportFreshMillis", "ms", 0, 60_000, 50),
  /** Maximum number of load probes of one server per second, over all entries. */
  SERVER_PROBES_PER_SECOND("serverProbesPerSecond", "probes/s", 0, 100_000, 0),
  /** Fraction of a server's slots above which it counts as nearly full and may become slow. */
  NEARLY_FULL_SHARE("nearlyFullShare", "share", 0, 1, 1),
  /** Factor by which work is expected to take longer on a server that is nearly full. */
  NEARLY_FULL_SLOWNESS("nearlyFullSlowness", "factor", 1, 100, 1),
  /** Age at which the weight of a reported slowness has decayed by two thirds (to 1/e). */
  SLOWNESS_TRUST_MILLIS("slownessTrustMillis", "ms", 1, 600_000, 250),
  /** As {@link #SLOWNESS_TRUST_MILLIS} for load reports, in multiples of median service time. */
  REPORT_TRUST("reportTrust", "factor", 0.001, 1000, 1),
  /** One-way network delay between failure domains of a region. */
  DOMAIN_TRIP_MILLIS("domainTripMillis", "ms", 0, 100, 1),
  /** Interval at which queued calls are reconsidered in the absence of other events. */
  QUEUE_TICK_MILLIS("queueTickMillis", "ms", 1, 1000, 2),
  /** Weight of the expected wait at a server relative to the wait in the entry's own queue. */
  SERVER_WAIT_FACTOR("serverWaitFactor", "factor", 0, 100, 2),
  /** Fraction of failed answers at which a server is ejected. */
  EJECT_FAILURE_SHARE("ejectFailureShare", "share", 0, 1, 0.5),
  /** Maximum fraction of the servers of a service that are ejected at the same time. */
  EJECT_MAX_SHARE("ejectMaxShare", "share", 0, 1, 0.3),
  /** Time for which an ejected server gets no work. */
  EJECT_MILLIS("ejectMillis", "ms", 0, 600_000, 2000),
  /** Time over which a new or no longer ejected server is ramped up to its full share. */
  RAMP_MILLIS("rampMillis", "ms", 0, 600_000, 5000),
  /** Cost of a failed answer, in multiples of the median service time. */
  FAILURE_COST("failureCost", "factor", 0, 1000, 10),
  /** Multiple of the median service time above which the work of a route counts as long. */
  LONG_WORK_FACTOR("longWorkFactor", "factor", 1, 1000, 4),
  /** Bytes that a call to another region is assumed to transfer over the link. */
  REGION_CALL_BYTES("regionCallBytes", "bytes", 0, 1_000_000_000, 16_384),
  /** One-way network delay to another region for which there is no link object. */
  REGION_TRIP_MILLIS("regionTripMillis", "ms", 0, 1000, 8),
  /** Maximum number of calls sent to a server in excess of its slots, over all entries. */
  SERVER_QUEUE("serverQueue", "calls", 0, 1000, 2),
  /** Time without work for a server after a refusal; doubles with each consecutive refusal. */
  REFUSAL_PAUSE_MILLIS("refusalPauseMillis", "ms", 0, 60_000, 10),
  /** Time constant of the decay of slow and failed answers while a server gets no work. */
  FORGET_MILLIS("forgetMillis", "ms", 1, 600_000, 2000),
  /** Time reserved before a deadline for the work, in multiples of the route's expected time. */
  DEADLINE_MARGIN("deadlineMargin", "factor", 0, 100, 2),
  /** Ratio to the expected service time up to which a server does not count as slow. */
  TOLERATED_SLOWNESS("toleratedSlowness", "factor", 1, 100, 1.5),
  /** Fraction of an entry's calls in flight to a service up to which long work takes any slot. */
  LONG_WORK_SHARE("longWorkShare", "share", 0, 1, 0.5),
  /** Slots per server kept free of long work in excess of {@link #LONG_WORK_SHARE}. */
  SHORT_SLOTS("shortSlots", "slots", 0, 1000, 1),
  /** Number of entries above which each uses a subset of the servers first; 0 for never. */
  SUBSET_ENTRIES("subsetEntries", "entries", 0, 100_000, 0),
  /** Length of the sliding window in which customers' quotas are checked. */
  QUOTA_WINDOW_SECONDS("quotaWindowSeconds", "s", 0.1, 3600, 5),
  /** Fraction by which a customer's requests in a window may exceed its quota. */
  QUOTA_OVERRUN("quotaOverrun", "share", 0, 10, 0.1),
  /** Requests by which a customer's requests in a window may exceed that, if state is lost. */
  QUOTA_SLACK("quotaSlack", "requests", 0, 100_000, 20),
  /** Idle timeout of a caller's connection between requests. */
  CALLER_IDLE_MILLIS("callerIdleMillis", "ms", 1, 3_600_000, 60_000),
  /** Maximum time from the first to the last byte of a request head. */
  CALLER_HEAD_MILLIS("callerHeadMillis", "ms", 1, 3_600_000, 10_000),
  /** Maximum size of a request head. */
  CALLER_HEAD_BYTES("callerHeadBytes", "bytes", 1, 1_000_000, 16_384),
  /** Maximum size of a request body. */
  CALLER_BODY_BYTES("callerBodyBytes", "bytes", 0, 1_099_511_627_776.0, 1_073_741_824);

  private final String label;
  private final String unit;
  private final double min;
  private final double max;
  private final double defaultValue;

  Tunable(String label, String unit, double min, double max, double defaultValue) {
    this.label = label;
    this.unit = unit;
    this.min = min;
    this.max = max;
    this.defaultValue = defaultValue;
  }

  /** Returns the name used in tickets, settings and messages. */
  public String label() {
    return label;
  }

  /** Returns the unit, such as {@code ms} or {@code share}, for display. */
  public String unit() {
    return unit;
  }

  /** Returns the minimum value, inclusive. */
  public double min() {
    return min;
  }

  /** Returns the maximum value, inclusive. */
  public double max() {
    return max;
  }

  /** Returns the value that applies where no limit object sets one. */
  public double defaultValue() {
    return defaultValue;
  }

  /**
   * Finds a tunable by its label.
   *
   * @param label the label, case-sensitive
   * @return the tunable, or empty if none has that label
   */
  public static Optional<Tunable> ofLabel(String label) {
    for (Tunable tunable : values()) {
      if (tunable.label.equals(label)) {
        return Optional.of(tunable);
      }
    }
    return Optional.empty();
  }
}
