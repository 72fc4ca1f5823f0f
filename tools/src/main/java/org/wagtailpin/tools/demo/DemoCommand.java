package org.wagtailpin.tools.demo;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.wagtailpin.benchmark.load.LoadResult;
import org.wagtailpin.config.TicketResult;

/**
 * Command that runs the whole system in one process under load and checks the results.
 *
 * <p>Exit codes: 0 if no call failed, no order ran twice and the drained server got no requests
 * later than 2 s after it left; 1 if not; 2 for wrong usage. A call fails if it gets neither a
 * complete answer nor one that states its outcome.
 */
public final class DemoCommand {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final double MICROS_PER_MILLI = 1000;

  @Option(name = "--seconds", usage = "how long traffic is sent, in seconds")
  private int seconds = 20;

  @Option(name = "--seed", usage = "seed of service times, arrivals and random choices")
  private long seed = 7;

  @Option(name = "--log", usage = "file to which the entries' events are written")
  private File logFile = new File(System.getProperty("java.io.tmpdir"), "wagtailpin-demo.log");

  @Option(name = "--help", help = true, usage = "print this help")
  private boolean help;

  /**
   * Runs the command.
   *
   * @param args the arguments after the command's name
   * @param out where progress and the table are printed
   * @param err where errors and usage are printed
   * @return the exit code
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      err.println("demo: " + e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    if (help) {
      parser.printUsage(out);
      return EXIT_OK;
    }
    return runDemo(out, err);
  }

  private int runDemo(PrintStream out, PrintStream err) {
    try (PrintStream log = new PrintStream(logFile, UTF_8);
        DemoSite site = new DemoSite(seed, log);
        DemoTraffic traffic = new DemoTraffic(seed)) {
      out.println("seed " + seed + ", the entries' events go to " + logFile);
      site.start();
      TicketResult ticket = site.acceptServices();
      out.println("ticket 1: " + ticket.getClass().getSimpleName());
      if (!(ticket instanceof TicketResult.Accepted) || !site.awaitReady()) {
        err.println("demo: ticket 1 was not accepted or an entry did not become ready");
        return EXIT_FAILED;
      }
      out.println("entries serve on " + site.describeEntries());
      traffic.start(site, seconds);
      boolean drained = drainAndWatch(site, out);
      return report(site, traffic, out) && drained ? EXIT_OK : EXIT_FAILED;
    } catch (IOException | ExecutionException e) {
      err.println("demo: " + e.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    }
  }

  private boolean drainAndWatch(DemoSite site, PrintStream out) throws InterruptedException {
    boolean drained = false;
    long requestsAtDrain = 0;
    for (int second = 1; second <= seconds; second++) {
      TimeUnit.SECONDS.sleep(1);
      if (second == seconds / 2) {
        TicketResult ticket = site.drainServer();
        drained = ticket instanceof TicketResult.Accepted;
        out.println("server lesson-0 leaves, ticket 2: " + ticket.getClass().getSimpleName());
      }
      if (second == seconds / 2 + 2) {
        requestsAtDrain = site.drainedServerRequests();
      }
      out.printf(
          "%2d s: %d runs at servers, %d to lesson-0%n",
          second, site.executionCounter().totalRuns(), site.drainedServerRequests());
    }
    long lateRequests = site.drainedServerRequests() - requestsAtDrain;
    out.println("requests to lesson-0 later than 2 s after it left: " + lateRequests);
    return drained && lateRequests == 0;
  }

  private boolean report(DemoSite site, DemoTraffic traffic, PrintStream out)
      throws InterruptedException, ExecutionException {
    List<LoadResult> lessons = traffic.lessons();
    List<LoadResult> orders = traffic.orders();
    Histogram direct = traffic.direct().latencies();
    out.printf(
        "%n%-8s %7s %7s %8s %8s %7s %9s %8s %8s%n",
        "kind", "calls", "whole", "not run", "unknown", "failed", "repeated", "p50 ms", "p99 ms");
    printRow(out, "lessons", lessons, site.executionCounter().countRepeated("lesson"));
    printRow(out, "orders", orders, site.executionCounter().countRepeated("order"));
    Histogram viaEntries = mergeLatencies(lessons);
    out.printf(
        "lessons, added to a direct call: p50 %.2f ms, p99 %.2f ms%n",
        addedMillis(viaEntries, direct, 50), addedMillis(viaEntries, direct, 99));
    out.println("probes sent: " + site.probes());
    long failed =
        lessons.stream().mapToLong(LoadResult::failed).sum()
            + orders.stream().mapToLong(LoadResult::failed).sum();
    return failed == 0 && site.executionCounter().countRepeated("order") == 0;
  }

  private static double addedMillis(Histogram viaEntries, Histogram direct, double percentile) {
    return (viaEntries.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile))
        / MICROS_PER_MILLI;
  }

  private static Histogram mergeLatencies(List<LoadResult> results) {
    Histogram merged = new Histogram(results.get(0).latencies());
    results.forEach(result -> merged.add(result.latencies()));
    return merged;
  }

  private static void printRow(
      PrintStream out, String kind, List<LoadResult> results, long repeated) {
    Histogram latencies = mergeLatencies(results);
    out.printf(
        "%-8s %7d %7d %8d %8d %7d %9d %8.2f %8.2f%n",
        kind,
        results.stream().mapToLong(LoadResult::calls).sum(),
        results.stream().mapToLong(LoadResult::whole).sum(),
        results.stream().mapToLong(LoadResult::notRun).sum(),
        results.stream().mapToLong(LoadResult::unknown).sum(),
        results.stream().mapToLong(LoadResult::failed).sum(),
        repeated,
        latencies.getValueAtPercentile(50) / MICROS_PER_MILLI,
        latencies.getValueAtPercentile(99) / MICROS_PER_MILLI);
  }
}
