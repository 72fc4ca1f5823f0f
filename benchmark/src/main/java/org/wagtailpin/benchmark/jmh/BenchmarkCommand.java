package org.wagtailpin.benchmark.jmh;

import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/** Command that runs the microbenchmarks in this process and reports times and allocation rates. */
public final class BenchmarkCommand {

  private static final int WARM_UP_ITERATIONS = 3;
  private static final int MEASUREMENT_ITERATIONS = 3;

  private BenchmarkCommand() {}

  /**
   * Runs the benchmarks.
   *
   * @param args a regular expression that selects benchmarks by name; all run if it is absent
   * @throws RunnerException if a benchmark fails
   */
  public static void main(String[] args) throws RunnerException {
    String include = args.length == 0 ? "org.wagtailpin.benchmark.*" : args[0];
    new Runner(
            new OptionsBuilder()
                .include(include)
                .forks(0)
                .warmupIterations(WARM_UP_ITERATIONS)
                .warmupTime(TimeValue.seconds(1))
                .measurementIterations(MEASUREMENT_ITERATIONS)
                .measurementTime(TimeValue.seconds(1))
                .addProfiler(GCProfiler.class)
                .build())
        .run();
  }
}
