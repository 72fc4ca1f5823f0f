package org.wagtailpin.benchmark.claims;

import java.io.PrintStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.wagtailpin.claims.ClaimSettings;

/** Command that measures the cost of claims at several rates of calls with idempotency keys. */
public final class ClaimCommand {

  private static final int EXIT_OK = 0;
  private static final int EXIT_USAGE = 2;

  private static final double[] RATES = {20, 50, 100, 200, 500, 1_000, 2_000};
  private static final int WARM_UP_SECONDS = 10;
  private static final int MEASURED_SECONDS = 60;

  @Option(name = "--entries", usage = "number of entries in the fleet")
  private int entries = 16;

  @Option(name = "--shards", usage = "number of shards of the key space")
  private int shards = ClaimSettings.defaults().shards();

  @Option(name = "--interval", usage = "minimum time between two batches of a shard, ms")
  private long minIntervalMillis = ClaimSettings.defaults().batchIntervalMillis();

  @Option(name = "--segment", usage = "size at which a segment is closed, bytes")
  private int segmentBytes = ClaimSettings.defaults().maxSegmentBytes();

  @Option(name = "--store", usage = "response time of the store, ms")
  private long storeDelayMillis = 5;

  @Option(
      name = "--window-rate",
      usage = "claims per second in the run over a whole window, 0 to skip it")
  private double windowRate = 200;

  @Option(name = "--seed", usage = "seed of the arrival times")
  private long seed = 1;

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  /** Runs the command and exits with its exit code. */
  public static void main(String[] args) {
    System.exit(new ClaimCommand().run(args, System.out, System.err));
  }

  /**
   * Runs the command.
   *
   * @param args the arguments after the command's name
   * @param out where the results are printed
   * @param err where errors and usage are printed
   * @return the exit code, 2 for wrong usage, else 0
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    if (help) {
      parser.printUsage(out);
      return EXIT_OK;
    }
    measureRates(out);
    if (windowRate > 0) {
      measureWindow(out);
    }
    return EXIT_OK;
  }

  private void measureRates(PrintStream out) {
    out.printf(
        "entries %d, shards %d, interval %d ms, segment %d bytes, store %d ms, seed %d%n",
        entries, shards, minIntervalMillis, segmentBytes, storeDelayMillis, seed);
    out.println(ClaimLoadResult.heading());
    for (double rate : RATES) {
      ClaimLoad load = new ClaimLoad(entries, settings(), storeDelayMillis, seed);
      load.run(rate, WARM_UP_SECONDS);
      out.println(load.run(rate, MEASURED_SECONDS).row());
    }
  }

  private void measureWindow(PrintStream out) {
    long usedBytesBefore = usedBytes();
    ClaimLoad load = new ClaimLoad(entries, settings(), storeDelayMillis, seed);
    int seconds = (int) (settings().windowMillis() / 1_000);
    load.run(windowRate, seconds);
    long used = usedBytes() - usedBytesBefore;
    double claims = windowRate * seconds;
    out.printf(
        "after a window at %.0f claims/s: %d keys and %d bytes in the store (%.0f a claim);"
            + " heap of all entries and of the store %d bytes (%.0f a claim)%n",
        windowRate,
        load.storedKeys(),
        load.storedBytes(),
        load.storedBytes() / claims,
        used,
        used / claims);
  }

  private static long usedBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private ClaimSettings settings() {
    ClaimSettings defaults = ClaimSettings.defaults();
    return new ClaimSettings(
        shards,
        defaults.windowMillis(),
        minIntervalMillis,
        defaults.maxClaimWaitMillis(),
        defaults.maxReplayWaitMillis(),
        segmentBytes,
        defaults.maxPendingPerShard(),
        defaults.maxHeldAnswerBytes());
  }
}
