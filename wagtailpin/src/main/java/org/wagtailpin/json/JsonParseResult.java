package org.wagtailpin.json;

/** Result of parsing a JSON text. */
public sealed interface JsonParseResult {

  /**
   * The text is well-formed.
   *
   * @param value the top-level value
   */
  record Parsed(JsonValue value) implements JsonParseResult {}

  /**
   * The text is not well-formed.
   *
   * @param problem the first problem in it
   */
  record Malformed(JsonProblem problem) implements JsonParseResult {}
}
