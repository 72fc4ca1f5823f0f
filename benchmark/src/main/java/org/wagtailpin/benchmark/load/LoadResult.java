package org.wagtailpin.benchmark.load;

import org.HdrHistogram.Histogram;

/**
 * Latencies and outcome counts of the measured calls of a load.
 *
 * @param target the URL prefix that the load was sent to
 * @param latencies the latencies of complete answers, from the intended send time, in microseconds
 * @param seconds how long calls were measured, in seconds
 * @param whole number of calls that got a complete answer to their own work
 * @param notRun number of calls answered with the outcome {@code not-run}
 * @param unknown number of calls answered with the outcome {@code unknown}
 * @param failed number of calls that got no answer or any other one
 */
public record LoadResult(
    String target,
    Histogram latencies,
    double seconds,
    long whole,
    long notRun,
    long unknown,
    long failed) {

  private static final double MICROS_PER_MILLI = 1000;

  /**
   * Returns a percentile of the latencies.
   *
   * @param percentile the percentile, 0 to 100
   * @return the latency in milliseconds
   */
  public double latencyMillis(double percentile) {
    return latencies.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }

  /** Returns the rate of complete answers, per second. */
  public double wholePerSecond() {
    return whole / seconds;
  }

  /** Returns the number of measured calls, of all outcomes. */
  public long calls() {
    return whole + notRun + unknown + failed;
  }
}
