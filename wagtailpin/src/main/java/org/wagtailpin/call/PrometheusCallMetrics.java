package org.wagtailpin.call;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.routing.CallDescriptor;

/**
 * Prometheus metrics of calls, attempts and retry decisions. Thread-safe.
 *
 * <p>The names of routes and services come from the configuration and are used as label values. To
 * limit the number of time series, names beyond the first {@value #MAX_LABEL_VALUES} are counted
 * together under {@code other}.
 */
public final class PrometheusCallMetrics implements CallMetrics {

  /** Maximum number of routes, and of services, that get a label value of their own. */
  static final int MAX_LABEL_VALUES = 256;

  private static final String OTHER_LABEL = "other";
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double[] BUCKET_BOUNDS_SECONDS = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10
  };

  private final Set<String> routes = ConcurrentHashMap.newKeySet();
  private final Set<String> services = ConcurrentHashMap.newKeySet();
  private final Counter calls;
  private final Counter attempts;
  private final Counter retryDecisions;
  private final Counter unreadRequests;
  private final Counter refusedKeys;
  private final Histogram latencies;
  private final Histogram attemptLatencies;

  /**
   * Creates the metrics and registers them.
   *
   * @param registry the registry; it must not hold metrics of these names yet
   */
  public PrometheusCallMetrics(PrometheusRegistry registry) {
    calls =
        counter("wagtailpin_calls", "Calls that ended, by outcome.")
            .labelNames("service", "route", "kind", "outcome")
            .register(registry);
    attempts =
        counter("wagtailpin_attempts", "Attempts on backend servers that ended, by outcome.")
            .labelNames("service", "outcome")
            .register(registry);
    retryDecisions =
        counter("wagtailpin_retry_decisions", "Decisions on another attempt, by rule.")
            .labelNames("service", "rule")
            .register(registry);
    unreadRequests =
        counter("wagtailpin_unread_requests", "Requests answered before they became calls.")
            .labelNames("status")
            .register(registry);
    refusedKeys =
        counter("wagtailpin_refused_keys", "Requests refused for lack of a known key, by reason.")
            .labelNames("reason")
            .register(registry);
    latencies =
        histogram("wagtailpin_call_seconds", "Time from a request's head to the answer's end.")
            .register(registry);
    attemptLatencies =
        histogram("wagtailpin_attempt_seconds", "Time from the choice of a server to its answer.")
            .register(registry);
  }

  private static Counter.Builder counter(String name, String help) {
    return Counter.builder().name(name).help(help);
  }

  private static Histogram.Builder histogram(String name, String help) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .labelNames("service")
        .classicOnly()
        .classicUpperBounds(BUCKET_BOUNDS_SECONDS);
  }

  @Override
  public void callEnded(CallDescriptor call, String outcome, double latencyMillis) {
    String service = boundedLabel(services, call.route().service());
    String route = boundedLabel(routes, call.route().name());
    calls.labelValues(service, route, call.repeatable() ? "safe" : "unsafe", outcome).inc();
    latencies.labelValues(service).observe(latencyMillis / MILLIS_PER_SECOND);
  }

  @Override
  public void attemptEnded(String service, String outcome, double latencyMillis) {
    String name = boundedLabel(services, service);
    attempts.labelValues(name, outcome).inc();
    attemptLatencies.labelValues(name).observe(latencyMillis / MILLIS_PER_SECOND);
  }

  @Override
  public void retryDecided(String service, String rule) {
    retryDecisions.labelValues(boundedLabel(services, service), rule).inc();
  }

  @Override
  public void unreadRequestAnswered(int status) {
    unreadRequests.labelValues(Integer.toString(status)).inc();
  }

  @Override
  public void keyRefused(String reason) {
    refusedKeys.labelValues(reason).inc();
  }

  private static String boundedLabel(Set<String> known, String name) {
    if (known.contains(name)) {
      return name;
    }
    return known.size() < MAX_LABEL_VALUES && known.add(name) ? name : OTHER_LABEL;
  }
}
