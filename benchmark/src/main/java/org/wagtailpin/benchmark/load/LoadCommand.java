package org.wagtailpin.benchmark.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Optional;
import org.asynchttpclient.AsyncHttpClient;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.wagtailpin.transport.EventLoops;

/**
 * Command that sends open-loop load to a URL, or to two URLs in alternation to compare them.
 *
 * <p>Exit codes: 0 if each measured call got either the complete answer to its own work or the
 * outcome {@code not-run} or {@code unknown}; 1 if a call failed; 2 for wrong usage.
 */
public final class LoadCommand {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Option(name = "--through", usage = "URL of the entry, such as http://127.0.0.1:8080")
  private String through;

  @Option(name = "--direct", usage = "URL of a backend server, to compare with")
  private String direct;

  @Option(name = "--rate", usage = "calls per second")
  private double rate = 1000;

  @Option(name = "--seconds", usage = "measured time of each round, s")
  private int seconds = 5;

  @Option(name = "--warm-up", usage = "warm-up before calls are measured, s")
  private int warmUpSeconds = 2;

  @Option(name = "--rounds", usage = "rounds, each sent directly and through the entry")
  private int rounds = 3;

  @Option(name = "--method", usage = "HTTP method")
  private String method = "GET";

  @Option(name = "--path", usage = "path and query")
  private String path = "/";

  @Option(name = "--body", usage = "size of the request body, bytes")
  private int bodyBytes;

  @Option(name = "--connections", usage = "maximum number of connections")
  private int maxConnections = 64;

  @Option(name = "--timeout", usage = "timeout of a call, ms")
  private int timeoutMillis = 10_000;

  @Option(name = "--keyed", usage = "send an idempotency key with each call")
  private boolean keyed;

  @Option(name = "--threads", usage = "number of event loops that send calls")
  private int threads = 2;

  @Option(name = "--seed", usage = "seed of the arrival times")
  private long seed = 1;

  @Option(name = "--json", usage = "file for the results as JSON")
  private File jsonFile;

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  /**
   * Runs the command.
   *
   * @param args the arguments after the command's name
   * @param out where the results are printed
   * @param err where errors and usage are printed
   * @return the exit code, 0 to 2 as described above
   */
  public int run(String[] args, PrintStream out, PrintStream err) {
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(args);
      if (!help && through == null) {
        throw new IllegalArgumentException("--through URL is required");
      }
    } catch (CmdLineException | IllegalArgumentException e) {
      err.println("load: " + e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    }
    if (help) {
      parser.printUsage(out);
      return EXIT_OK;
    }
    return runLoad(out, err);
  }

  private int runLoad(PrintStream out, PrintStream err) {
    EventLoopGroup group = EventLoops.create(threads, "load");
    try (AsyncHttpClient client = LoadClients.create(group, maxConnections, timeoutMillis)) {
      out.println("seed " + seed);
      boolean noneFailed = direct == null ? runThrough(client, out) : compare(client, out);
      return noneFailed ? EXIT_OK : EXIT_FAILED;
    } catch (IOException e) {
      err.println("load: " + e.getMessage());
      return EXIT_FAILED;
    } finally {
      group.shutdownGracefully();
    }
  }

  private boolean runThrough(AsyncHttpClient client, PrintStream out) throws IOException {
    LoadResult result = runRound(client, through, 0);
    print(out, result);
    writeJson(Optional.of(result), Optional.empty());
    return result.failed() == 0;
  }

  private boolean compare(AsyncHttpClient client, PrintStream out) throws IOException {
    LoadComparison comparison = new LoadComparison();
    boolean noneFailed = true;
    for (int number = 0; number < rounds; number++) {
      LoadResult directResult = runRound(client, direct, 2 * number);
      LoadResult throughResult = runRound(client, through, 2 * number + 1);
      comparison.add(directResult, throughResult);
      noneFailed &= directResult.failed() == 0 && throughResult.failed() == 0;
    }
    comparison.print(out);
    writeJson(Optional.empty(), Optional.of(comparison));
    return noneFailed;
  }

  private LoadResult runRound(AsyncHttpClient client, String target, int number) {
    LoadPlan plan =
        new LoadPlan(
            rate,
            seconds,
            warmUpSeconds,
            method,
            path,
            bodyBytes,
            maxConnections,
            timeoutMillis,
            keyed,
            seed + number / 2);
    return new OpenLoopLoad(client, plan, target, "load-" + seed + "-" + number).run();
  }

  private static void print(PrintStream out, LoadResult result) {
    out.printf(
        "%s: calls %d, whole %d (%.0f/s), not run %d, unknown %d, failed %d%n",
        result.target(),
        result.calls(),
        result.whole(),
        result.wholePerSecond(),
        result.notRun(),
        result.unknown(),
        result.failed());
    out.printf(
        "p50 %.3fms, p99 %.3fms, p99.9 %.3fms, max %.3fms%n",
        result.latencyMillis(50),
        result.latencyMillis(99),
        result.latencyMillis(99.9),
        result.latencyMillis(100));
  }

  private void writeJson(Optional<LoadResult> single, Optional<LoadComparison> comparison)
      throws IOException {
    if (jsonFile == null) {
      return;
    }
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode root = mapper.createObjectNode();
    root.put("seed", seed);
    root.put("rate", rate);
    single.ifPresent(result -> putResult(root.putObject("through"), result));
    comparison.ifPresent(
        both -> {
          both.direct().forEach(result -> putResult(root.withArray("direct").addObject(), result));
          both.through()
              .forEach(result -> putResult(root.withArray("through").addObject(), result));
          root.put("addedP50Millis", both.addedMillis(50));
          root.put("addedP99Millis", both.addedMillis(99));
          root.put("addedP999Millis", both.addedMillis(99.9));
        });
    mapper.writerWithDefaultPrettyPrinter().writeValue(jsonFile, root);
  }

  private static void putResult(ObjectNode node, LoadResult result) {
    node.put("calls", result.calls());
    node.put("whole", result.whole());
    node.put("wholePerSecond", result.wholePerSecond());
    node.put("notRun", result.notRun());
    node.put("unknown", result.unknown());
    node.put("failed", result.failed());
    node.put("p50Millis", result.latencyMillis(50));
    node.put("p99Millis", result.latencyMillis(99));
    node.put("p999Millis", result.latencyMillis(99.9));
  }
}
