package org.wagtailpin.tools;

import java.util.List;

/** A command of the launcher. */
public interface Command {

  /** Returns the word that names the command. */
  String name();

  /** Returns what it does, in one line. */
  String summary();

  /**
   * Runs the command.
   *
   * @param arguments the arguments after the name
   * @param console where to write
   * @return one of the codes of {@link ExitCode}
   */
  int run(List<String> arguments, Console console);
}
