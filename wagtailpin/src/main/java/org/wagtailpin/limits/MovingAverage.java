package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicLong;

/** An exponentially weighted moving average. Safe for all threads, without locks. */
public final class MovingAverage {

  private static final long NO_SAMPLE = Double.doubleToRawLongBits(Double.NaN);

  private final double smoothingFactor;
  private final AtomicLong bits = new AtomicLong(NO_SAMPLE);

  /**
   * Creates an average without samples.
   *
   * @param smoothingFactor the weight of a new sample against the average, above 0 and at most 1
   */
  public MovingAverage(double smoothingFactor) {
    this.smoothingFactor = smoothingFactor;
  }

  /**
   * Adds a sample; the first one sets the average.
   *
   * @param sample the sample
   */
  public void add(double sample) {
    while (true) {
      long before = bits.get();
      double average = Double.longBitsToDouble(before);
      double next = Double.isNaN(average) ? sample : average + smoothingFactor * (sample - average);
      if (bits.compareAndSet(before, Double.doubleToRawLongBits(next))) {
        return;
      }
    }
  }

  /**
   * Replaces the average.
   *
   * @param value the new average
   */
  public void reset(double value) {
    bits.set(Double.doubleToRawLongBits(value));
  }

  /**
   * Returns the average.
   *
   * @param fallback what to return if there was no sample
   */
  public double orElse(double fallback) {
    double average = Double.longBitsToDouble(bits.get());
    return Double.isNaN(average) ? fallback : average;
  }
}
