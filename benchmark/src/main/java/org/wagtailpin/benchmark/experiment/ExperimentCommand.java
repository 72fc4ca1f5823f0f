package org.wagtailpin.benchmark.experiment;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Command that runs an experiment, prints a table of results and optionally writes JSON and a plot.
 */
public final class ExperimentCommand {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Argument(required = true, metaVar = "FILE", usage = "the experiment, JSON with comments")
  private Path file;

  @Option(name = "--versions", usage = "run only these versions, separated by commas")
  private String versions = "";

  @Option(name = "--seeds", usage = "maximum number of seeds to run, from the first")
  private int seeds = Integer.MAX_VALUE;

  @Option(name = "--set", metaVar = "NAME=VALUE", usage = "set a tunable; may be repeated")
  private List<String> tunables = new ArrayList<>();

  @Option(name = "--json", metaVar = "FILE", usage = "write the results as JSON")
  private Path json;

  @Option(name = "--plot", metaVar = "FILE", usage = "write a plot as PNG")
  private Path plot;

  private final PrintStream out;
  private final PrintStream err;

  @Option(name = "--help", help = true, usage = "print this text")
  private boolean help;

  /**
   * Creates a command, which can be run once.
   *
   * @param out the stream for the table
   * @param err the stream for progress and errors
   */
  public ExperimentCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /**
   * Runs the command and exits with its exit code.
   *
   * @param args the command-line arguments
   */
  public static void main(String[] args) {
    System.exit(new ExperimentCommand(System.out, System.err).run(List.of(args)));
  }

  /**
   * Runs the command.
   *
   * @param args the command-line arguments
   * @return the exit code: 0 if the experiment ran or help was printed, 1 if it failed or was
   *     interrupted, 2 for wrong usage
   */
  public int run(List<String> args) {
    System.setProperty("java.awt.headless", "true");
    System.setProperty("tinylog.level", "warn");
    CmdLineParser parser = new CmdLineParser(this);
    try {
      parser.parseArgument(args);
      if (help) {
        parser.printUsage(out);
        return EXIT_OK;
      }
      experiment();
      return EXIT_OK;
    } catch (CmdLineException e) {
      err.println(e.getMessage());
      parser.printUsage(err);
      return EXIT_USAGE;
    } catch (IOException e) {
      err.println("cannot run " + file + ": " + e.getMessage());
      return EXIT_FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return EXIT_FAILED;
    }
  }

  private void experiment() throws IOException, InterruptedException {
    ExperimentFile read = ExperimentFile.read(file);
    ExperimentFile chosen =
        versions.isEmpty() ? read : read.withVersions(List.of(versions.split(",", -1)));
    ExperimentFile limited = chosen.withSeeds(seeds).withTunables(tunableValues(chosen));
    Results results = Results.of(limited, new Experiment(limited, err).run());
    out.print(ResultTable.of(results));
    if (json != null) {
      new ObjectMapper()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .writeValue(json.toFile(), results);
    }
    if (plot != null) {
      ResultPlot.write(results, plot);
    }
  }

  private Map<String, Double> tunableValues(ExperimentFile read) {
    Map<String, Double> values = new HashMap<>(read.tunables());
    for (String setting : tunables) {
      int equals = setting.indexOf('=');
      values.put(setting.substring(0, equals), Double.valueOf(setting.substring(equals + 1)));
    }
    return values;
  }
}
