package org.wagtailpin.json;

/** How the parsing of a JSON text ended. */
public sealed interface JsonParseResult {

  /**
   * The text is well formed.
   *
   * @param value the value it holds
   */
  record Parsed(JsonValue value) implements JsonParseResult {}

  /**
   * The text is not well formed.
   *
   * @param problem the first mistake in it
   */
  record Malformed(JsonProblem problem) implements JsonParseResult {}
}
