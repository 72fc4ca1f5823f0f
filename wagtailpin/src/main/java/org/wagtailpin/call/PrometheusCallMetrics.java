package org.wagtailpin.call;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts of calls and attempts for Prometheus. */
public final class PrometheusCallMetrics implements CallMetrics {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double[] BOUNDS_SECONDS = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10
  };

  private final Counter calls;
  private final Counter attempts;
  private final Histogram latencies;

  /**
   * Registers the metrics.
   *
   * @param registry the registry
   */
  public PrometheusCallMetrics(PrometheusRegistry registry) {
    calls =
        Counter.builder()
            .name("wagtailpin_calls")
            .help("Calls that ended, by outcome.")
            .labelNames("service", "outcome")
            .register(registry);
    attempts =
        Counter.builder()
            .name("wagtailpin_attempts")
            .help("Attempts on backend servers that ended, by outcome.")
            .labelNames("service", "outcome")
            .register(registry);
    latencies =
        Histogram.builder()
            .name("wagtailpin_call_seconds")
            .help("Time from a request's head to the end of its answer.")
            .labelNames("service")
            .classicOnly()
            .classicUpperBounds(BOUNDS_SECONDS)
            .register(registry);
  }

  @Override
  public void callEnded(String service, String outcome, double latencyMillis) {
    calls.labelValues(service, outcome).inc();
    latencies.labelValues(service).observe(latencyMillis / MILLIS_PER_SECOND);
  }

  @Override
  public void attemptEnded(String service, String outcome) {
    attempts.labelValues(service, outcome).inc();
  }
}
