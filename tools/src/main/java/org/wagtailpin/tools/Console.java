package org.wagtailpin.tools;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out receives results
 * @param err receives errors and usage
 */
@SuppressWarnings("AnnotateFormatMethod") // no run-time dependency has the annotation
public record Console(PrintStream out, PrintStream err) {

  /**
   * Prints a line of results.
   *
   * @param format the line, as for {@link String#format}
   * @param values the values of the format
   */
  public void print(String format, Object... values) {
    out.println(String.format(format, values));
  }

  /**
   * Prints a line about an error.
   *
   * @param format the line, as for {@link String#format}
   * @param values the values of the format
   */
  public void printError(String format, Object... values) {
    err.println(String.format(format, values));
  }
}
