package org.wagtailpin.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Page with the state of the entry as a JSON object with one key for each part. */
public final class StatusPage implements AdminPage {

  private final List<StatusPart> parts;

  /**
   * Creates the page.
   *
   * @param parts the parts in the order in which they are written; their names must differ
   */
  public StatusPage(List<StatusPart> parts) {
    this.parts = List.copyOf(parts);
  }

  @Override
  public String path() {
    return "/status";
  }

  @Override
  public AdminAnswer answer() {
    Map<String, Object> status = new LinkedHashMap<>();
    for (StatusPart part : parts) {
      status.put(part.name(), part.current());
    }
    return PageJson.indented(status);
  }
}
