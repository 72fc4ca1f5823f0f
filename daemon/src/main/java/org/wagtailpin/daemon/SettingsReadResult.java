package org.wagtailpin.daemon;

import java.util.List;
import org.wagtailpin.json.JsonProblem;

/** Result of reading an entry's settings: the settings or the problems found in their text. */
public sealed interface SettingsReadResult {

  /**
   * The settings are well formed and each value is within its range.
   *
   * @param settings the settings, with defaults for the values that the text omits
   */
  record Read(EntrySettings settings) implements SettingsReadResult {}

  /**
   * The text is not valid JSON, or values are missing, unknown or out of range.
   *
   * @param problems the problems with their positions, at least one
   */
  record Malformed(List<JsonProblem> problems) implements SettingsReadResult {

    /** Copies the list. */
    public Malformed {
      problems = List.copyOf(problems);
    }
  }
}
