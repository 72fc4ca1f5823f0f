package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** An exponentially weighted moving average. Safe for all threads, without locks. */
public final class MovingAverage {

  private static final long NO_SAMPLE = Double.doubleToRawLongBits(Double.NaN);

  private final double smoothingFactor;
  private final AtomicLong bits = new AtomicLong(NO_SAMPLE);
  private final AtomicInteger samples = new AtomicInteger();

  /**
   * Creates an average without samples.
   *
   * @param smoothingFactor the weight of a new sample against the average, above 0 and at most 1
   */
  public MovingAverage(double smoothingFactor) {
    this.smoothingFactor = smoothingFactor;
  }

  /**
   * Adds a sample. The first samples are averaged evenly, until one weighs as little as the
   * smoothing factor, so that the first one does not outweigh those that follow.
   *
   * @param sample the sample
   */
  public void add(double sample) {
    double factor = Math.max(smoothingFactor, 1.0 / samples.updateAndGet(MovingAverage::increment));
    while (true) {
      long before = bits.get();
      double average = Double.longBitsToDouble(before);
      double next = Double.isNaN(average) ? sample : average + factor * (sample - average);
      if (bits.compareAndSet(before, Double.doubleToRawLongBits(next))) {
        return;
      }
    }
  }

  private static int increment(int count) {
    return count == Integer.MAX_VALUE ? count : count + 1;
  }

  /**
   * Replaces the average by a known value, which later samples change by the smoothing factor.
   *
   * @param value the new average
   */
  public void reset(double value) {
    samples.set(Integer.MAX_VALUE);
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
