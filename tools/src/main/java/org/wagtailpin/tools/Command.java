package org.wagtailpin.tools;

import java.util.List;

/** A command that {@link Launcher} runs by its name. */
public interface Command {

  /** Returns the first argument that selects the command, unique among all commands. */
  String name();

  /** Returns a one-line description for the help. */
  String summary();

  /**
   * Runs the command.
   *
   * @param arguments the arguments after the name
   * @param console where results and errors are printed
   * @return one of the codes of {@link ExitCode}
   */
  int run(List<String> arguments, Console console);
}
