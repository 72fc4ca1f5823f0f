package org.wagtailpin.store;

import org.wagtailpin.clock.Clock;

/**
 * Token bucket whose capacity is one second of calls at the current rate, but at least one call.
 * Not thread-safe.
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

  /**
   * Takes a token if one is available.
   *
   * @param tokensPerSecond the current rate, by which the bucket is refilled and its capacity set
   */
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
