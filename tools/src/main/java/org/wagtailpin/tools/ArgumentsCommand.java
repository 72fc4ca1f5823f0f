package org.wagtailpin.tools;

import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** Command whose arguments args4j parses into a new object for each run. */
abstract class ArgumentsCommand<A extends ArgumentsCommand.Arguments> implements Command {

  /** Arguments that all commands accept. */
  abstract static class Arguments {
    @Option(name = "--help", help = true, usage = "print this help")
    private boolean help;
  }

  /** Returns new arguments that hold the default values. */
  abstract A defaults();

  /** Returns the arguments for the usage line, which follow the command's name. */
  abstract String usage();

  /** Runs the command with parsed arguments. */
  abstract int run(A arguments, Console console);

  @Override
  public final int run(List<String> args, Console console) {
    A arguments = defaults();
    CmdLineParser parser = new CmdLineParser(arguments);
    try {
      parser.parseArgument(args);
    } catch (CmdLineException e) {
      console.printError("%s: %s", name(), e.getMessage());
      console.printError("usage: wagtailpin %s %s", name(), usage());
      parser.printUsage(console.err());
      return ExitCode.USAGE;
    }
    Arguments common = arguments;
    if (common.help) {
      console.print("usage: wagtailpin %s %s", name(), usage());
      console.print("%s", summary());
      parser.printUsage(console.out());
      return ExitCode.DONE;
    }
    return run(arguments, console);
  }
}
