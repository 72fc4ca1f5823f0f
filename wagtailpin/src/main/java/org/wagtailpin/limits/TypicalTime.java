package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A running quantile of times: moved up by samples above it and down by samples below it, in steps
 * that balance at the quantile, so that a few very long samples hardly shift it. Safe for all
 * threads and without locks.
 */
final class TypicalTime {

  /** Steps are shares of the quantile, so it must not come to rest at 0. */
  private static final double LEAST_MILLIS = 0.05;

  private final double stepUp;
  private final double stepDown;
  private final AtomicLong bits = new AtomicLong(Double.doubleToRawLongBits(Double.NaN));
  private volatile long lastMillis;

  /**
   * Creates a quantile without samples.
   *
   * @param gain how far a sample moves the median, as a share of it
   * @param quantile the quantile, above 0 and below 1, 0.5 for the median
   */
  TypicalTime(double gain, double quantile) {
    this.stepUp = 2 * gain * quantile;
    this.stepDown = 2 * gain * (1 - quantile);
  }

  void add(double sample, long nowMillis) {
    lastMillis = nowMillis;
    double moving = Math.max(LEAST_MILLIS, sample);
    bits.updateAndGet(before -> Double.doubleToRawLongBits(next(before, moving)));
  }

  private double next(long before, double sample) {
    double median = Double.longBitsToDouble(before);
    if (Double.isNaN(median)) {
      return sample;
    }
    return sample > median ? median * (1 + stepUp) : median / (1 + stepDown);
  }

  double millis(double fallback) {
    double median = Double.longBitsToDouble(bits.get());
    return Double.isNaN(median) ? fallback : median;
  }

  /** Returns the time of the last sample, 0 before the first. */
  long lastMillis() {
    return lastMillis;
  }
}
