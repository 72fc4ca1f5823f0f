package org.wagtailpin.store;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Growing delays between tries, with full jitter and a cap.
 *
 * <p>Each delay is drawn evenly from one to the present bound, which doubles with each failure, so
 * that clients that lost the store together do not come back together. For use by one thread.
 */
public final class Backoff {

  private final long initialMillis;
  private final long maxMillis;
  private final UniformRandomProvider random;
  private long currentMaxMillis;

  /**
   * Creates delays.
   *
   * @param initialMillis the bound of the first delay, in milliseconds, at least 1
   * @param maxMillis the greatest bound, in milliseconds, at least the first
   * @param random the source of the jitter
   */
  public Backoff(long initialMillis, long maxMillis, UniformRandomProvider random) {
    this.initialMillis = initialMillis;
    this.maxMillis = maxMillis;
    this.random = random;
    this.currentMaxMillis = initialMillis;
  }

  /** Returns the next delay, in milliseconds. */
  public long nextMillis() {
    long delayMillis = 1 + random.nextLong(currentMaxMillis);
    currentMaxMillis = Math.min(maxMillis, currentMaxMillis * 2);
    return delayMillis;
  }

  /** Begins again with the first bound, after a success. */
  public void reset() {
    currentMaxMillis = initialMillis;
  }
}
