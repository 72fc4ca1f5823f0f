package org.wagtailpin.json;

/**
 * A problem in a JSON text.
 *
 * @param position the position of the value or key that is wrong
 * @param key the path of the key, such as {@code servers[0].port}, empty for the whole text
 * @param found a description of what the text contains
 * @param expected a description of what would be valid
 */
public record JsonProblem(JsonPosition position, String key, String found, String expected) {

  @Override
  public String toString() {
    String subject = key.isEmpty() ? "" : " key " + key + ":";
    return position + ":" + subject + " found " + found + ", expected " + expected;
  }
}
