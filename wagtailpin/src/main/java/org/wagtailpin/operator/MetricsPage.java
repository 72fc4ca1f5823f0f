package org.wagtailpin.operator;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Page with the metrics in the Prometheus text format. */
public final class MetricsPage implements AdminPage {

  private static final int OK = 200;

  private final PrometheusRegistry registry;
  private final PrometheusTextFormatWriter writer = PrometheusTextFormatWriter.create();

  /**
   * Creates the page.
   *
   * @param registry the registry whose metrics are scraped for each request
   */
  public MetricsPage(PrometheusRegistry registry) {
    this.registry = registry;
  }

  @Override
  public String path() {
    return "/metrics";
  }

  @Override
  public AdminAnswer answer() {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      writer.write(text, registry.scrape());
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    return new AdminAnswer(OK, writer.getContentType(), text.toByteArray());
  }
}
