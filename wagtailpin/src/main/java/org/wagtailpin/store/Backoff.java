package org.wagtailpin.store;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential backoff with full jitter and a maximum delay.
 *
 * <p>Each delay is drawn uniformly from 1 ms to the current bound, which doubles with each failure.
 * The jitter prevents clients that lost the store at the same time from retrying at the same time.
 * For use by one thread.
 */
public final class Backoff {

  private final long initialMillis;
  private final long maxMillis;
  private final UniformRandomProvider random;
  private long currentMaxMillis;

  /**
   * Creates a backoff that starts at its first bound.
   *
   * @param initialMillis the upper bound of the first delay, in milliseconds, at least 1
   * @param maxMillis the maximum delay, in milliseconds, at least the first bound
   * @param random the source of the jitter
   */
  public Backoff(long initialMillis, long maxMillis, UniformRandomProvider random) {
    this.initialMillis = initialMillis;
    this.maxMillis = maxMillis;
    this.random = random;
    this.currentMaxMillis = initialMillis;
  }

  /** Counts one more failure and returns the delay before the next try, in milliseconds. */
  public long nextMillis() {
    long delayMillis = 1 + random.nextLong(currentMaxMillis);
    currentMaxMillis = Math.min(maxMillis, currentMaxMillis * 2);
    return delayMillis;
  }

  /** Resets the bound to that of the first delay; called after a success. */
  public void reset() {
    currentMaxMillis = initialMillis;
  }
}
