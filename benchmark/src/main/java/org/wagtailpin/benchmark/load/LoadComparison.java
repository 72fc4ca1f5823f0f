package org.wagtailpin.benchmark.load;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * Compares the latencies of the same load sent directly to a backend server and through an entry,
 * over any number of rounds. At least one round must be added before results are read.
 */
public final class LoadComparison {

  private static final double[] PERCENTILES = {50, 99, 99.9};

  private final List<LoadResult> direct = new ArrayList<>();
  private final List<LoadResult> through = new ArrayList<>();

  /**
   * Adds the results of one round.
   *
   * @param directResult the load sent directly to the backend server
   * @param throughResult the load sent through an entry
   */
  public void add(LoadResult directResult, LoadResult throughResult) {
    direct.add(directResult);
    through.add(throughResult);
  }

  /**
   * Returns the latency added by the entry at a percentile.
   *
   * @param percentile the percentile, 0 to 100
   * @return the difference in milliseconds between the percentiles over all rounds
   */
  public double addedMillis(double percentile) {
    return percentileMillis(through, percentile) - percentileMillis(direct, percentile);
  }

  /** Returns the results of the load sent directly, one for each round. */
  public List<LoadResult> direct() {
    return List.copyOf(direct);
  }

  /** Returns the results of the load sent through an entry, one for each round. */
  public List<LoadResult> through() {
    return List.copyOf(through);
  }

  private static double percentileMillis(List<LoadResult> results, double percentile) {
    Histogram merged = new Histogram(results.get(0).latencies());
    for (LoadResult result : results) {
      merged.add(result.latencies());
    }
    return merged.getValueAtPercentile(percentile) / 1000.0;
  }

  /**
   * Prints a table of the percentiles, their differences and their ratios, then the outcome counts.
   *
   * @param out the stream to print to
   */
  public void print(PrintStream out) {
    out.printf("%-10s %10s %10s %10s %8s%n", "percentile", "direct", "through", "added", "ratio");
    for (double percentile : PERCENTILES) {
      double directMillis = percentileMillis(direct, percentile);
      double throughMillis = percentileMillis(through, percentile);
      out.printf(
          "p%-9s %8.3fms %8.3fms %8.3fms %8.2f%n",
          Double.toString(percentile).replace(".0", ""),
          directMillis,
          throughMillis,
          throughMillis - directMillis,
          throughMillis / directMillis);
    }
    printCounts(out, "direct", direct);
    printCounts(out, "through", through);
  }

  private static void printCounts(PrintStream out, String name, List<LoadResult> results) {
    out.printf(
        "%s: calls %d, whole %d (%.0f/s), not run %d, unknown %d, failed %d%n",
        name,
        results.stream().mapToLong(LoadResult::calls).sum(),
        results.stream().mapToLong(LoadResult::whole).sum(),
        results.stream().mapToDouble(LoadResult::wholePerSecond).average().orElse(0),
        results.stream().mapToLong(LoadResult::notRun).sum(),
        results.stream().mapToLong(LoadResult::unknown).sum(),
        results.stream().mapToLong(LoadResult::failed).sum());
  }
}
