package org.wagtailpin.tools;

import java.util.List;
import org.wagtailpin.daemon.SettingsReadResult;
import org.wagtailpin.daemon.SettingsReader;
import org.wagtailpin.json.JsonProblem;

/** Checks an entry's settings with the reader that the entry itself uses. */
final class EntrySettingsChecker implements SettingsChecker {

  @Override
  public List<JsonProblem> check(String file, byte[] text) {
    SettingsReadResult result = new SettingsReader().read(file, text);
    return result instanceof SettingsReadResult.Malformed malformed
        ? malformed.problems()
        : List.of();
  }
}
