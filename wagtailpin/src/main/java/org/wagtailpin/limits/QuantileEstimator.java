package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A running estimate of a quantile of times, in milliseconds. Samples above the estimate move it up
 * and samples below move it down, in steps that balance at the quantile, so that a few very long
 * samples hardly shift it. Safe for all threads, without locks.
 */
final class QuantileEstimator {

  /** Lower bound of a sample. Steps are proportional to the estimate, so it must not reach 0. */
  private static final double MIN_MILLIS = 0.05;

  private final double stepUp;
  private final double stepDown;
  private final AtomicLong bits = new AtomicLong(Double.doubleToRawLongBits(Double.NaN));
  private volatile long lastSampleMillis;

  /**
   * Creates an estimate without samples.
   *
   * @param relativeStep the step by which a sample moves an estimate of the median, as a share of
   *     it
   * @param quantile the quantile, above 0 and below 1, 0.5 for the median
   */
  QuantileEstimator(double relativeStep, double quantile) {
    this.stepUp = 2 * relativeStep * quantile;
    this.stepDown = 2 * relativeStep * (1 - quantile);
  }

  void add(double sample, long nowMillis) {
    lastSampleMillis = nowMillis;
    double boundedSample = Math.max(MIN_MILLIS, sample);
    bits.updateAndGet(before -> Double.doubleToRawLongBits(next(before, boundedSample)));
  }

  private double next(long estimateBits, double sample) {
    double estimate = Double.longBitsToDouble(estimateBits);
    if (Double.isNaN(estimate)) {
      return sample;
    }
    return sample > estimate ? estimate * (1 + stepUp) : estimate / (1 + stepDown);
  }

  double millisOrElse(double fallback) {
    double estimate = Double.longBitsToDouble(bits.get());
    return Double.isNaN(estimate) ? fallback : estimate;
  }

  /** Returns the time of the last sample, 0 before the first. */
  long lastSampleMillis() {
    return lastSampleMillis;
  }
}
