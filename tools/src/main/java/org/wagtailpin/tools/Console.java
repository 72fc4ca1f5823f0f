package org.wagtailpin.tools;

import java.io.PrintStream;

/**
 * Where a command writes.
 *
 * @param out for results
 * @param err for mistakes and faults
 */
@SuppressWarnings("AnnotateFormatMethod") // its annotation is in no run-time library
public record Console(PrintStream out, PrintStream err) {

  /**
   * Writes a line of results.
   *
   * @param format the line, as for {@link String#format}
   * @param values what to fill in
   */
  public void print(String format, Object... values) {
    out.println(String.format(format, values));
  }

  /**
   * Writes a line about a mistake or fault.
   *
   * @param format the line, as for {@link String#format}
   * @param values what to fill in
   */
  public void printError(String format, Object... values) {
    err.println(String.format(format, values));
  }
}
