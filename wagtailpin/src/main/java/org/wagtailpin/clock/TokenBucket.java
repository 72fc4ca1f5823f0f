package org.wagtailpin.clock;

import java.util.concurrent.atomic.AtomicReference;

/**
 * A token bucket whose rate is given with each take. Unused tokens accumulate for the burst time
 * only, so that the rate holds over every longer interval. Safe for all threads, without locks.
 */
public final class TokenBucket {

  private record Level(double tokens, double atMillis) {}

  private static final double MILLIS_PER_SECOND = 1000;

  private final Clock clock;
  private final double burstMillis;
  private final AtomicReference<Level> level;

  /**
   * Creates an empty bucket.
   *
   * @param clock the clock
   * @param burstMillis how long unused tokens accumulate, in milliseconds, above 0
   */
  public TokenBucket(Clock clock, double burstMillis) {
    this(clock, burstMillis, 0);
  }

  /**
   * Creates a bucket with initial tokens.
   *
   * @param clock the clock
   * @param burstMillis how long unused tokens accumulate, in milliseconds, above 0
   * @param tokens the number of initial tokens, at least 0
   */
  public TokenBucket(Clock clock, double burstMillis, double tokens) {
    this.clock = clock;
    this.burstMillis = burstMillis;
    this.level = new AtomicReference<>(new Level(tokens, clock.exactMillis()));
  }

  /**
   * Takes tokens if there are enough.
   *
   * @param amount the number of tokens, at least 0
   * @param perSecond the current rate, in tokens per second; the bucket holds at most the tokens
   *     that this rate gives over the burst time, or the amount of this take if that is more
   * @return whether they were taken
   */
  public boolean take(double amount, double perSecond) {
    while (true) {
      Level before = level.get();
      double now = clock.exactMillis();
      double earned = Math.max(0, now - before.atMillis()) * perSecond / MILLIS_PER_SECOND;
      double capacity = Math.max(amount, perSecond * burstMillis / MILLIS_PER_SECOND);
      double tokens = Math.min(capacity, before.tokens() + earned);
      if (tokens < amount) {
        return false;
      }
      if (level.compareAndSet(before, new Level(tokens - amount, now))) {
        return true;
      }
    }
  }
}
