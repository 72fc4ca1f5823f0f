package org.wagtailpin.claims;

import org.wagtailpin.clock.Clock;

/**
 * When a shard may write its next batch: once an interval over time, a few at once after a rest.
 *
 * <p>The generic cell rate algorithm of ITU-T I.371, with one cell a batch.
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

  /** Returns how long to wait before the next batch, in milliseconds, 0 or less for not at all. */
  long waitMillis() {
    long earliestMillis = theoreticalMillis - (MAX_BURST_BATCHES - 1) * intervalMillis;
    return Math.max(earliestMillis, suspendedUntilMillis) - clock.millis();
  }

  /** Counts a batch that is written now. */
  void countBatch() {
    theoreticalMillis = Math.max(theoreticalMillis, clock.millis()) + intervalMillis;
  }

  /** Writes nothing for some milliseconds. */
  void suspend(long durationMillis) {
    suspendedUntilMillis = clock.millis() + durationMillis;
  }
}
