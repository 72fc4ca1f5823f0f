package org.wagtailpin.store;

import org.wagtailpin.clock.Clock;

/**
 * A rate limit that lets a second's worth of calls through at once. For use by one thread at a
 * time.
 */
final class TokenBucket {

  private static final double MILLIS_PER_SECOND = 1000;
  private static final double MIN_BURST = 1;

  private final Clock clock;
  private double tokens;
  private double lastMillis;
  private boolean started;

  TokenBucket(Clock clock) {
    this.clock = clock;
  }

  /** Takes a token if there is one, at the rate that holds now. */
  boolean take(double perSecond) {
    double burst = Math.max(MIN_BURST, perSecond);
    double now = clock.exactMillis();
    if (!started) {
      started = true;
      tokens = burst;
    } else {
      double earned = (now - lastMillis) * perSecond / MILLIS_PER_SECOND;
      tokens = Math.min(burst, tokens + earned);
    }
    lastMillis = now;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
