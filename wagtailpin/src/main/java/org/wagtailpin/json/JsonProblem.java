package org.wagtailpin.json;

/**
 * A mistake in a JSON text.
 *
 * @param position where it is
 * @param key the path of the key it is about, empty for the whole text
 * @param found what stands there
 * @param expected what should stand there
 */
public record JsonProblem(JsonPosition position, String key, String found, String expected) {

  @Override
  public String toString() {
    String subject = key.isEmpty() ? "" : " key " + key + ":";
    return position + ":" + subject + " found " + found + ", expected " + expected;
  }
}
