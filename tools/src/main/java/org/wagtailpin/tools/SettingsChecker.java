package org.wagtailpin.tools;

import java.util.List;
import org.wagtailpin.json.JsonProblem;

/** Checks settings files without applying them. */
public interface SettingsChecker {

  /**
   * Checks the text of a settings file.
   *
   * @param file the name of the file, for messages
   * @param text the text of the file, in UTF-8
   * @return the problems in it, empty if the settings are valid
   */
  List<JsonProblem> check(String file, byte[] text);
}
