package org.wagtailpin.store;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Growing delays between tries, with full jitter and a cap.
 *
 * <p>Each delay is drawn evenly from one to the present bound, which doubles with each failure, so
 * that clients that lost the store together do not come back together. For use by one thread.
 */
public final class Backoff {

  private final long firstMillis;
  private final long capMillis;
  private final UniformRandomProvider random;
  private long boundMillis;

  /**
   * Creates delays.
   *
   * @param firstMillis the bound of the first delay, in milliseconds, at least 1
   * @param capMillis the greatest bound, in milliseconds, at least the first
   * @param random the source of the jitter
   */
  public Backoff(long firstMillis, long capMillis, UniformRandomProvider random) {
    this.firstMillis = firstMillis;
    this.capMillis = capMillis;
    this.random = random;
    this.boundMillis = firstMillis;
  }

  /** Returns the next delay, in milliseconds. */
  public long nextMillis() {
    long delay = 1 + random.nextLong(boundMillis);
    boundMillis = Math.min(capMillis, boundMillis * 2);
    return delay;
  }

  /** Begins again with the first bound, after a success. */
  public void reset() {
    boundMillis = firstMillis;
  }
}
