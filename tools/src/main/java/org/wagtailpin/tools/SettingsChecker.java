package org.wagtailpin.tools;

import java.util.List;
import org.wagtailpin.json.JsonProblem;

/** Checks a file of settings without using them. */
public interface SettingsChecker {

  /**
   * Checks settings.
   *
   * @param file the name of the file, for messages
   * @param text its text in UTF-8
   * @return the mistakes in it, none if it can be used
   */
  List<JsonProblem> check(String file, byte[] text);
}
