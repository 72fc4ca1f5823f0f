package org.wagtailpin.operator;

import java.util.function.Supplier;
import org.wagtailpin.config.ConfigReport;

/** Page that tells which ticket gave each object in force. */
public final class ConfigPage implements AdminPage {

  /** The path of the page. */
  public static final String PATH = "/config";

  private final Supplier<ConfigReport> reportSupplier;

  /**
   * Creates the page.
   *
   * @param reportSupplier gives the report as it is now, to any thread
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
