package org.wagtailpin.json;

/**
 * Position in a JSON text.
 *
 * @param file the name of the file, or of another origin of the text
 * @param line the line number, starting at 1
 * @param column the column number, starting at 1
 */
public record JsonPosition(String file, int line, int column) {

  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}
