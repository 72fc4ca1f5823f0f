package org.wagtailpin.claims;

import org.wagtailpin.clock.Clock;

/**
 * Limits the batches of one shard to one per interval on average, with a short burst after an idle
 * time.
 *
 * <p>Implements the generic cell rate algorithm (GCRA) of ITU-T I.371, with one cell per batch.
 */
final class BatchRateLimiter {

  private static final int MAX_BURST_BATCHES = 4;

  private final Clock clock;
  private final long intervalMillis;
  private long theoreticalMillis;
  private long suspendedUntilMillis;

  BatchRateLimiter(Clock clock, long intervalMillis) {
    this.clock = clock;
    this.intervalMillis = intervalMillis;
    this.theoreticalMillis = clock.millis();
    this.suspendedUntilMillis = clock.millis();
  }

  /** Returns the time until the next batch is allowed, in milliseconds; 0 or less means now. */
  long waitMillis() {
    long earliestMillis = theoreticalMillis - (MAX_BURST_BATCHES - 1) * intervalMillis;
    return Math.max(earliestMillis, suspendedUntilMillis) - clock.millis();
  }

  /** Counts a batch that is written now. */
  void countBatch() {
    theoreticalMillis = Math.max(theoreticalMillis, clock.millis()) + intervalMillis;
  }

  /** Allows no batch for the given time from now. */
  void suspend(long durationMillis) {
    suspendedUntilMillis = clock.millis() + durationMillis;
  }
}
