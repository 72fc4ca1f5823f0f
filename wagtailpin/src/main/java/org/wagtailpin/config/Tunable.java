package org.wagtailpin.config;

import java.util.Optional;

/**
 * A named constant of the routing and admission rules that a ticket can change.
 *
 * <p>Each has a unit, a range and a default; {@link ConfigLimit} carries values for one service or
 * for all.
 */
public enum Tunable {
  /** Retries and hedges allowed, as a share of first attempts. */
  RETRY_SHARE("retryShare", "share", 0, 1, 0.1),
  /** Retries saved up at most by a service. */
  RETRY_BURST("retryBurst", "attempts", 0, 1000, 10),
  /** Retries saved up at most by a service over all entries; 0 to bound each entry on its own. */
  FLEET_RETRY_BURST("fleetRetryBurst", "attempts", 0, 1_000_000, 0),
  /** Longest wait before the first retry; doubled for each further one. */
  RETRY_BACKOFF_MILLIS("retryBackoffMillis", "ms", 0, 60_000, 5),
  /** When a hedge is started, in multiples of the time of 95% of the route's attempts. */
  HEDGE_DELAY("hedgeDelay", "factor", 0.1, 1000, 1),
  /** Most attempts of one call, the first among them. */
  MAX_ATTEMPTS("maxAttempts", "attempts", 1, 10, 3),
  /** Longest time a call is queued for a server. */
  MAX_QUEUE_MILLIS("maxQueueMillis", "ms", 0, 600_000, 1000),
  /** Servers of the own region that a decision compares. */
  CANDIDATES("candidates", "servers", 1, 1000, 3),
  /** Servers of other regions that a decision compares. */
  FAR_CANDIDATES("farCandidates", "servers", 0, 1000, 2),
  /** What a KiB moved to or from another failure domain is taken to cost besides the trip. */
  DOMAIN_MILLIS_PER_KIB("domainMillisPerKib", "ms", 0, 60_000, 0),
  /** What a KiB moved to or from another region is taken to cost besides the trip. */
  REGION_MILLIS_PER_KIB("regionMillisPerKib", "ms", 0, 60_000, 0),
  /** Servers that are asked for their load together before a call is placed; 0 for none. */
  PROBES_PER_ROUND("probesPerRound", "servers", 0, 100, 0),
  /** Longest time that a call waits for reports of load. */
  PROBE_MILLIS("probeMillis", "ms", 0, 10_000, 30),
  /** Age up to which a report of load is taken as it is. */
  REPORT_FRESH_MILLIS("reportFreshMillis", "ms", 0, 60_000, 50),
  /** Probes of one server in a second over all entries. */
  SERVER_PROBES_PER_SECOND("serverProbesPerSecond", "probes/s", 0, 100_000, 0),
  /** Share of its slots in use from which on a server may get slow. */
  NEARLY_FULL_SHARE("nearlyFullShare", "share", 0, 1, 1),
  /** How many times longer work is taken to last at a server that is nearly full. */
  NEARLY_FULL_SLOWNESS("nearlyFullSlowness", "factor", 1, 100, 1),
  /** Age at which a reported slowness has lost two thirds of its weight. */
  SLOWNESS_TRUST_MILLIS("slownessTrustMillis", "ms", 1, 600_000, 250),
  /** Age at which a load report has lost two thirds of its weight, in usual service times. */
  REPORT_TRUST("reportTrust", "factor", 0.001, 1000, 1),
  /** One-way delay between failure domains of a region. */
  DOMAIN_TRIP_MILLIS("domainTripMillis", "ms", 0, 100, 1),
  /** How often queued calls are looked at again when nothing else happens. */
  QUEUE_TICK_MILLIS("queueTickMillis", "ms", 1, 1000, 2),
  /** How much longer than the wait here a wait at a server counts. */
  SERVER_WAIT_FACTOR("serverWaitFactor", "factor", 0, 100, 2),
  /** Share of failed answers from which on a server is ejected. */
  EJECT_FAILURE_SHARE("ejectFailureShare", "share", 0, 1, 0.5),
  /** Largest share of the servers of a service that is ejected at once. */
  EJECT_MAX_SHARE("ejectMaxShare", "share", 0, 1, 0.3),
  /** How long an ejected server gets no work. */
  EJECT_MILLIS("ejectMillis", "ms", 0, 600_000, 2000),
  /** Time over which a new or returned server comes to its full share. */
  RAMP_MILLIS("rampMillis", "ms", 0, 600_000, 5000),
  /** What a failed answer is taken to cost, in multiples of the usual service time. */
  FAILURE_COST("failureCost", "factor", 0, 1000, 10),
  /** How many times the usual service time makes a route one of long work. */
  LONG_WORK_FACTOR("longWorkFactor", "factor", 1, 1000, 4),
  /** What a call to another region is taken to move over the link. */
  REGION_CALL_BYTES("regionCallBytes", "bytes", 0, 1_000_000_000, 16_384),
  /** One-way delay to another region of which no link object tells. */
  REGION_TRIP_MILLIS("regionTripMillis", "ms", 0, 1000, 8),
  /** Calls beyond its slots that a server is given at most, over all entries. */
  SERVER_QUEUE("serverQueue", "calls", 0, 1000, 2),
  /** How long a server that refused gets no work; doubled for each further refusal in a row. */
  REFUSAL_PAUSE_MILLIS("refusalPauseMillis", "ms", 0, 60_000, 10),
  /** Time over which slow and failed answers of a server that gets no work are forgotten. */
  FORGET_MILLIS("forgetMillis", "ms", 1, 600_000, 2000),
  /** What the work is taken to need before its deadline, in multiples of what its route needs. */
  DEADLINE_MARGIN("deadlineMargin", "factor", 0, 100, 2),
  /** Slowness of a server, against the usual service time, up to which it counts as usual. */
  TOLERATED_SLOWNESS("toleratedSlowness", "factor", 1, 100, 1.5),
  /** Share of this entry's calls in flight to a service up to which long ones take any slot. */
  LONG_WORK_SHARE("longWorkShare", "share", 0, 1, 0.5),
  /** Slots of a server that are kept free of long work beyond its share. */
  SHORT_SLOTS("shortSlots", "slots", 0, 1000, 1),
  /** How long a caller's connection may wait for its next request. */
  CALLER_IDLE_MILLIS("callerIdleMillis", "ms", 1, 3_600_000, 60_000),
  /** Longest time from the first byte of a request's head to its last. */
  CALLER_HEAD_MILLIS("callerHeadMillis", "ms", 1, 3_600_000, 10_000),
  /** Greatest size of a request's headers. */
  CALLER_HEAD_BYTES("callerHeadBytes", "bytes", 1, 1_000_000, 16_384),
  /** Longest request body. */
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

  /** Returns the name used in tickets. */
  public String label() {
    return label;
  }

  /** Returns the unit. */
  public String unit() {
    return unit;
  }

  /** Returns the least value. */
  public double min() {
    return min;
  }

  /** Returns the greatest value. */
  public double max() {
    return max;
  }

  /** Returns the value in force where no ticket states one. */
  public double defaultValue() {
    return defaultValue;
  }

  /**
   * Finds a constant by its name in tickets.
   *
   * @param label the name
   * @return the constant, or empty if there is none of that name
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
