package org.wagtailpin.daemon;

import java.util.List;
import org.wagtailpin.json.JsonProblem;

/** How the reading of settings ended. */
public sealed interface SettingsReadResult {

  /**
   * The settings are well formed and each value is within its range.
   *
   * @param settings the settings
   */
  record Read(EntrySettings settings) implements SettingsReadResult {}

  /**
   * There are mistakes.
   *
   * @param problems the mistakes with their places, at least one
   */
  record Malformed(List<JsonProblem> problems) implements SettingsReadResult {

    /** Copies the list. */
    public Malformed {
      problems = List.copyOf(problems);
    }
  }
}
