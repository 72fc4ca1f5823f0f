package org.wagtailpin.operator;

import java.util.function.Supplier;
import org.wagtailpin.config.ConfigReport;

/** Page that lists the objects of the active configuration with the ticket of each, as JSON. */
public final class ConfigPage implements AdminPage {

  /** URL path of the page. */
  public static final String PATH = "/config";

  private final Supplier<ConfigReport> reportSupplier;

  /**
   * Creates the page.
   *
   * @param reportSupplier returns the current report; must be thread-safe
   */
  public ConfigPage(Supplier<ConfigReport> reportSupplier) {
    this.reportSupplier = reportSupplier;
  }

  @Override
  public String path() {
    return PATH;
  }

  @Override
  public AdminAnswer answer() {
    return PageJson.compact(reportSupplier.get());
  }
}
