package org.wagtailpin.benchmark.load;

import org.HdrHistogram.Histogram;

/**
 * What came of a load.
 *
 * @param target where it was sent
 * @param latencies the latencies of whole answers from the intended send time, in microseconds
 * @param seconds how long calls were counted, in seconds
 * @param whole how many calls got a whole answer that names their own work
 * @param notRun how many were told that they were not run
 * @param unknown how many were told that their outcome is unknown
 * @param failed how many got no answer or a wrong one
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

  /** Returns how many whole answers came a second. */
  public double wholePerSecond() {
    return whole / seconds;
  }

  /** Returns how many calls were counted. */
  public long calls() {
    return whole + notRun + unknown + failed;
  }
}
