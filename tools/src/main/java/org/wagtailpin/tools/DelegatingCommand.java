package org.wagtailpin.tools;

import java.io.PrintStream;
import java.util.List;

/** Command that is implemented by another module, which parses the arguments itself. */
final class DelegatingCommand implements Command {

  /** Implementation of a command. */
  @FunctionalInterface
  interface Delegate {

    /**
     * Runs the command.
     *
     * @param args the arguments after its name
     * @param out where results are printed
     * @param err where errors and usage are printed
     * @return the exit code
     */
    int run(String[] args, PrintStream out, PrintStream err);
  }

  private static final String HELP = "--help";

  private final String name;
  private final String summary;
  private final Delegate delegate;

  DelegatingCommand(String name, String summary, Delegate delegate) {
    this.name = name;
    this.summary = summary;
    this.delegate = delegate;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public String summary() {
    return summary;
  }

  @Override
  public int run(List<String> arguments, Console console) {
    if (arguments.contains(HELP)) {
      console.print("usage: wagtailpin %s", name);
      console.print("%s", summary);
    }
    return delegate.run(arguments.toArray(new String[0]), console.out(), console.err());
  }
}
