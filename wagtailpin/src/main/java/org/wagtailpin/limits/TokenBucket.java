package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicReference;
import org.wagtailpin.clock.Clock;

/**
 * A rate budget. What is not used is saved up for a short while only, so that the rate holds over
 * every stretch longer than that. Safe for all threads and without locks.
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
   * @param burstMillis how long unused rate is saved up, in milliseconds, above 0
   */
  public TokenBucket(Clock clock, double burstMillis) {
    this(clock, burstMillis, 0);
  }

  /**
   * Creates a bucket that holds some tokens.
   *
   * @param clock the clock
   * @param burstMillis how long unused rate is saved up, in milliseconds, above 0
   * @param tokens how many it holds, at least 0
   */
  public TokenBucket(Clock clock, double burstMillis, double tokens) {
    this.clock = clock;
    this.burstMillis = burstMillis;
    this.level = new AtomicReference<>(new Level(tokens, clock.exactMillis()));
  }

  /**
   * Takes tokens if there are enough.
   *
   * @param amount how many, at least 0
   * @param perSecond the rate in force, in tokens a second; the bucket holds no more than what this
   *     rate gives over the burst time, but always room for one take
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
