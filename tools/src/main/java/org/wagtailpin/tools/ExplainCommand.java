package org.wagtailpin.tools;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.wagtailpin.tools.explain.LogExplanation;

/** Command that explains from entries' event logs why a request ended as it did. */
public final class ExplainCommand extends ArgumentsCommand<ExplainCommand.Arguments> {

  static final class Arguments extends ArgumentsCommand.Arguments {
    @Option(name = "--summary", usage = "count failures by cause and time instead")
    private boolean summary;

    @Argument(
        metaVar = "REQUEST-ID FILE",
        usage = "the request and the log files; reads standard input without files")
    private List<String> operands = new ArrayList<>();
  }

  private final InputStream standardInput;

  /** Creates a command that reads {@link System#in} if no files are given. */
  public ExplainCommand() {
    this(System.in);
  }

  ExplainCommand(InputStream standardInput) {
    this.standardInput = standardInput;
  }

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String summary() {
    return "Explains from entries' logs how a request ended and why, or counts failures.";
  }

  @Override
  String usage() {
    return "REQUEST-ID [FILE...] | --summary [FILE...]";
  }

  @Override
  Arguments defaults() {
    return new Arguments();
  }

  @Override
  int run(Arguments arguments, Console console) {
    if (!arguments.summary && arguments.operands.isEmpty()) {
      console.printError("explain: found no request, expected %s", usage());
      return ExitCode.USAGE;
    }
    LogExplanation explanation =
        arguments.summary
            ? LogExplanation.ofFailures()
            : LogExplanation.ofRequest(arguments.operands.get(0));
    List<String> files =
        arguments.operands.subList(arguments.summary ? 0 : 1, arguments.operands.size());
    try {
      readAll(files, explanation);
    } catch (IOException e) {
      console.printError("explain: %s", e);
      return ExitCode.NOT_DONE;
    }
    explanation.lines().forEach(line -> console.print("%s", line));
    if (explanation.unreadableLines() > 0) {
      console.printError("explain: %d lines could not be read", explanation.unreadableLines());
    }
    return explanation.found() ? ExitCode.DONE : ExitCode.NOT_DONE;
  }

  private void readAll(List<String> files, LogExplanation explanation) throws IOException {
    if (files.isEmpty()) {
      explanation.read(
          new BufferedReader(new InputStreamReader(standardInput, StandardCharsets.UTF_8)));
    }
    for (String file : files) {
      // A log may hold bytes that are not UTF-8: they only make their own lines unreadable.
      try (BufferedReader log =
          new BufferedReader(
              new InputStreamReader(Files.newInputStream(Path.of(file)), StandardCharsets.UTF_8))) {
        explanation.read(log);
      }
    }
  }
}
