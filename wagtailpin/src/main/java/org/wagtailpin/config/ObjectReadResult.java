package org.wagtailpin.config;

import java.util.List;
import org.wagtailpin.json.JsonProblem;

/** How the reading of an object from JSON ended. */
public sealed interface ObjectReadResult {

  /**
   * The object is well formed.
   *
   * @param object the object
   */
  record Read(ConfigObject object) implements ObjectReadResult {}

  /**
   * The text is not an object of the kind.
   *
   * @param problems the mistakes in it, at least one
   */
  record Malformed(List<JsonProblem> problems) implements ObjectReadResult {}
}
