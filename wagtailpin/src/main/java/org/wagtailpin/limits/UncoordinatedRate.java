package org.wagtailpin.limits;

/**
 * The rate at which entries that do not coordinate may use a server's limit together.
 *
 * <p>For fleets of more entries than the limit allows requests in a short time: each entry sends in
 * periods of its own, and by chance many of them may send at once. The rate is the limit, less what
 * keeps such a peak within what servers tolerate: one and a half times the limit, and a few
 * requests more, in any {@value #WINDOW_SECONDS} seconds. The fewer the entries, the smaller the
 * peaks, as each sends at most once a period.
 */
public final class UncoordinatedRate {

  /** The time over which servers judge the rate, in seconds. */
  public static final double WINDOW_SECONDS = 4;

  /** The multiple of the limit that servers tolerate within the window. */
  public static final double TOLERATED_FACTOR = 1.5;

  /** The requests beyond that multiple that servers tolerate within the window. */
  public static final double TOLERATED_SURPLUS = 5;

  /** Standard deviations between the mean and a peak that is not to occur. */
  private static final double DEVIATIONS = 6;

  /**
   * What servers tolerate.
   *
   * @param factor the multiple of the limit
   * @param surplus the requests beyond that multiple
   * @param windowSeconds the time over which they judge the rate, in seconds
   */
  public record Tolerance(double factor, double surplus, double windowSeconds) {}

  private UncoordinatedRate() {}

  /**
   * Returns the rate of all entries together, in requests per second, at most the limit.
   *
   * @param limitPerSecond the limit, in requests per second, at least 0
   * @param entries the number of entries that use it, at least 1
   */
  public static double perSecond(double limitPerSecond, double entries) {
    return perSecond(
        limitPerSecond,
        entries,
        new Tolerance(TOLERATED_FACTOR, TOLERATED_SURPLUS, WINDOW_SECONDS));
  }

  /**
   * Returns the rate of all entries together, in requests per second, at most the limit.
   *
   * @param limitPerSecond the limit, in requests per second, at least 0
   * @param entries the number of entries that use it, at least 1
   * @param tolerance what servers tolerate
   */
  public static double perSecond(double limitPerSecond, double entries, Tolerance tolerance) {
    double tolerated =
        tolerance.factor() * limitPerSecond * tolerance.windowSeconds() + tolerance.surplus();
    // The requests of a window are binomial: the largest mean m with
    // m + DEVIATIONS * sqrt(m * (1 - m / entries)) = tolerated is a root of a quadratic equation.
    double variance = DEVIATIONS * DEVIATIONS;
    double a = 1 + variance / entries;
    double b = 2 * tolerated + variance;
    double discriminant = b * b - 4 * a * tolerated * tolerated;
    if (discriminant < 0) {
      return limitPerSecond;
    }
    double mean = (b - Math.sqrt(discriminant)) / (2 * a);
    return Math.min(limitPerSecond, mean / tolerance.windowSeconds());
  }
}
