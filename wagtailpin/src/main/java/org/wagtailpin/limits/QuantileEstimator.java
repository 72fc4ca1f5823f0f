package org.wagtailpin.limits;

import java.util.Arrays;

/**
 * A quantile of the last samples of a time, in milliseconds.
 *
 * <p>Each sample counts the same, whether it came first or last, so that a first sample that is far
 * from the others is outvoted as soon as a few have followed. Safe for all threads; reading takes
 * no lock.
 */
final class QuantileEstimator {

  /** Lower bound of a sample; estimates are divided by. */
  private static final double MIN_MILLIS = 0.05;

  /** Quantile that stands for the time without any waiting. */
  private static final double LOW_QUANTILE = 0.1;

  private final double quantile;
  private final double[] samples;
  private volatile long count;
  private volatile double estimateMillis = Double.NaN;
  private volatile double lowMillis;
  private volatile long lastSampleMillis;

  /**
   * Creates an estimate without samples.
   *
   * @param window how many of the last samples count, at least 1
   * @param quantile the quantile, above 0 and below 1, 0.5 for the median
   */
  QuantileEstimator(int window, double quantile) {
    this.samples = new double[window];
    this.quantile = quantile;
  }

  synchronized void add(double sample, long nowMillis) {
    lastSampleMillis = nowMillis;
    samples[(int) (count % samples.length)] = Math.max(MIN_MILLIS, sample);
    count++;
    double[] sorted = Arrays.copyOf(samples, (int) Math.min(count, samples.length));
    Arrays.sort(sorted);
    lowMillis = sorted[(int) (LOW_QUANTILE * sorted.length)];
    estimateMillis = sorted[(int) (quantile * sorted.length)];
  }

  double millisOrElse(double fallback) {
    double estimate = estimateMillis;
    return Double.isNaN(estimate) ? fallback : estimate;
  }

  /** Returns the time that nine in ten samples reach, 0 before the first. */
  double lowMillis() {
    return lowMillis;
  }

  /** Returns how many samples the estimate is based on. */
  int size() {
    return (int) Math.min(count, samples.length);
  }

  /** Returns the time of the last sample, 0 before the first. */
  long lastSampleMillis() {
    return lastSampleMillis;
  }
}
