package org.wagtailpin.tools;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wagtailpin.benchmark.experiment.ExperimentCommand;
import org.wagtailpin.benchmark.load.LoadCommand;
import org.wagtailpin.daemon.EntryCommand;
import org.wagtailpin.tools.demo.DemoCommand;

/** Entry point of the command-line tools: runs the command that the first argument names. */
public final class Launcher {

  private static final String HELP = "--help";

  private final List<Command> commands;
  private final Console console;

  /**
   * Creates a launcher.
   *
   * @param commands the commands, in the order in which the help lists them
   * @param console where commands print results and errors
   */
  public Launcher(List<Command> commands, Console console) {
    this.commands = List.copyOf(commands);
    this.console = console;
  }

  /** Returns all commands of the launcher, in the order in which the help lists them. */
  static List<Command> builtInCommands() {
    List<Command> commands = new ArrayList<>();
    commands.add(
        new DelegatingCommand(
            "entry",
            "Runs an entry until SIGTERM makes it leave.",
            (args, out, err) -> new EntryCommand().run(args, out, err)));
    commands.add(new CheckCommand(Optional.of(new EntrySettingsChecker())));
    commands.add(new ApplyCommand());
    commands.add(new StatusCommand());
    commands.add(new DrainCommand());
    commands.add(new ExplainCommand());
    commands.add(new StandInCommand());
    commands.add(
        new DelegatingCommand(
            "load",
            "Sends open-loop load, or compares a server with and without an entry before it.",
            (args, out, err) -> new LoadCommand().run(args, out, err)));
    commands.add(
        new DelegatingCommand(
            "experiment",
            "Compares placement policies on the same seeds.",
            (args, out, err) -> new ExperimentCommand(out, err).run(List.of(args))));
    commands.add(
        new DelegatingCommand(
            "demo",
            "Runs a store, entries and servers in one process for about 20 s.",
            (args, out, err) -> new DemoCommand().run(args, out, err)));
    return commands;
  }

  /**
   * Runs the command that the first argument names; without arguments prints the help.
   *
   * @param arguments the command's name and its arguments
   * @return one of the codes of {@link ExitCode}
   */
  public int run(List<String> arguments) {
    if (arguments.isEmpty() || arguments.get(0).equals(HELP)) {
      console.print("usage: wagtailpin COMMAND ..., with --help for the arguments of a command");
      commands.forEach(command -> console.print("  %-12s%s", command.name(), command.summary()));
      console.print("exit codes: 0 done, 1 not done, 2 usage, 3 outcome unknown");
      return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.DONE;
    }
    for (Command command : commands) {
      if (command.name().equals(arguments.get(0))) {
        return command.run(arguments.subList(1, arguments.size()), console);
      }
    }
    List<String> names = commands.stream().map(Command::name).toList();
    console.printError("found %s, expected one of %s", arguments.get(0), String.join(", ", names));
    return ExitCode.USAGE;
  }

  /**
   * Runs a command and exits the process with its exit code.
   *
   * @param arguments the command's name and its arguments
   */
  public static void main(String[] arguments) {
    Console console = new Console(System.out, System.err);
    System.exit(new Launcher(builtInCommands(), console).run(List.of(arguments)));
  }
}
