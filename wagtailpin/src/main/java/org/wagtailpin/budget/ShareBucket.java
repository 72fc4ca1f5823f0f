package org.wagtailpin.budget;

/**
 * Token bucket of a failure domain's share of a budget. Its time is the holder's {@link
 * CreditClock}. Not thread-safe.
 */
final class ShareBucket {

  private static final double ROUNDING = 1e-9;

  private double level;
  private double atCreditMillis;

  /**
   * Creates a bucket.
   *
   * @param startLevel the initial units
   * @param creditMillis the credit time up to which units have accrued
   */
  ShareBucket(double startLevel, double creditMillis) {
    this.level = startLevel;
    this.atCreditMillis = creditMillis;
  }

  /** Adds what accrued since the last call, and limits the units to the capacity. */
  void advance(double creditMillis, double perMilli, double capacity) {
    double accrued = Math.max(0, creditMillis - atCreditMillis) * perMilli;
    level = Math.min(capacity, level + accrued);
    atCreditMillis = creditMillis;
  }

  double level() {
    return level;
  }

  /** Takes units, at most those that there are; returns how many. */
  double take(double atMost) {
    double taken = Math.max(0, Math.min(level, atMost));
    level -= taken;
    return taken;
  }

  /** Takes whole units, at most those that there are; returns how many. */
  int takeWhole(int atMost) {
    // Sums of fractional loans may fall short of a whole unit by a rounding error.
    int taken = (int) Math.max(0, Math.min(Math.floor(level + ROUNDING), atMost));
    level -= taken;
    return taken;
  }

  void add(double units) {
    level += units;
  }
}
