package org.wagtailpin.json;

/**
 * A place in a JSON text.
 *
 * @param file the name of the file or other origin of the text
 * @param line the line, counted from 1
 * @param column the column, counted from 1
 */
public record JsonPosition(String file, int line, int column) {

  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}
