package org.wagtailpin.store;

import org.wagtailpin.clock.Clock;

/**
 * A rate limit that lets a second's worth of calls through at once. For use by one thread at a
 * time.
 */
final class TokenBucket {

  private static final double MILLIS_PER_SECOND = 1000;
  private static final double MIN_BURST_TOKENS = 1;

  private final Clock clock;
  private double tokens;
  private double lastRefillMillis;
  private boolean started;

  TokenBucket(Clock clock) {
    this.clock = clock;
  }

  /** Takes a token if there is one, at the rate that holds now. */
  boolean tryAcquire(double tokensPerSecond) {
    double burst = Math.max(MIN_BURST_TOKENS, tokensPerSecond);
    double nowMillis = clock.exactMillis();
    if (!started) {
      started = true;
      tokens = burst;
    } else {
      double refill = (nowMillis - lastRefillMillis) * tokensPerSecond / MILLIS_PER_SECOND;
      tokens = Math.min(burst, tokens + refill);
    }
    lastRefillMillis = nowMillis;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
