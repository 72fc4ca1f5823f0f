package org.wagtailpin.budget;

/**
 * Token bucket of a failure domain's share of a budget. Its time is the holder's {@link
 * CreditClock}. Not thread-safe.
 */
final class ShareBucket {

  private static final double ROUNDING = 1e-9;

  private double level;
  private double startShare;
  private double atCreditMillis;

  /**
   * Creates a bucket without units.
   *
   * @param creditMillis the credit time up to which units have accrued
   */
  ShareBucket(double creditMillis) {
    this.atCreditMillis = creditMillis;
  }

  /**
   * Adds the part of the initial units that the holder has not received yet. A holder that has just
   * started is followed by few entries at first; it receives the rest once it is followed by most.
   *
   * @param startLevel the initial units of a holder that all entries follow
   * @param share the fraction of them that the holder may have now
   */
  void start(double startLevel, double share) {
    if (share > startShare) {
      level += startLevel * (share - startShare);
      startShare = share;
    }
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
