package org.wagtailpin.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.Supplier;
import org.wagtailpin.config.ConfigReport;

/** Page that tells which ticket gave each object in force. */
public final class ConfigPage implements AdminPage {

  /** The path of the page. */
  public static final String PATH = "/config";

  private final Supplier<ConfigReport> reports;

  /**
   * Creates the page.
   *
   * @param reports gives the report as it is now, to any thread
   */
  public ConfigPage(Supplier<ConfigReport> reports) {
    this.reports = reports;
  }

  @Override
  public String path() {
    return PATH;
  }

  @Override
  public AdminAnswer answer() {
    try {
      // Made here, as an entry that is starting has no use for it yet.
      return AdminAnswer.json(new ObjectMapper().writeValueAsBytes(reports.get()));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a report has no JSON form", e);
    }
  }
}
