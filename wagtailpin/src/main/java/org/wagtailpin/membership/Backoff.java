package org.wagtailpin.membership;

import org.apache.commons.rng.UniformRandomProvider;

/** Pauses between attempts: doubled after each failure up to a cap, and half of each random. */
final class Backoff {

  private final long minMillis;
  private final long maxMillis;
  private final UniformRandomProvider random;
  private long lastMillis;

  Backoff(long minMillis, long maxMillis, UniformRandomProvider random) {
    this.minMillis = minMillis;
    this.maxMillis = maxMillis;
    this.random = random;
  }

  /** Returns the pause after one more failure, in milliseconds. */
  long nextMillis() {
    lastMillis = Math.min(maxMillis, Math.max(minMillis, 2 * lastMillis));
    long half = lastMillis / 2;
    return half + random.nextLong(half + 1);
  }

  /** Notes a success. */
  void reset() {
    lastMillis = 0;
  }
}
