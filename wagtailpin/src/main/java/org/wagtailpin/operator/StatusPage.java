package org.wagtailpin.operator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Page of the entry's state in JSON, one key for each part. */
public final class StatusPage implements AdminPage {

  private final List<StatusPart> parts;

  /**
   * Creates the page.
   *
   * @param parts the parts in their order
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
