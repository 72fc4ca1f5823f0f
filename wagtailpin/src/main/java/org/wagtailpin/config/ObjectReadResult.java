package org.wagtailpin.config;

import java.util.List;
import org.wagtailpin.json.JsonProblem;

/** Result of reading a configuration object from JSON. */
public sealed interface ObjectReadResult {

  /**
   * The JSON is a valid object of the expected kind.
   *
   * @param object the object
   */
  record Read(ConfigObject object) implements ObjectReadResult {}

  /**
   * The JSON is malformed or not a valid object of the expected kind.
   *
   * @param problems the problems found, at least one
   */
  record Malformed(List<JsonProblem> problems) implements ObjectReadResult {}
}
