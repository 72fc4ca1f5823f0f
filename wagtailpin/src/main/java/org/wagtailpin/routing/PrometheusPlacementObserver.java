package org.wagtailpin.routing;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;

/** Counts decisions by service and rule, and measures the time that calls were queued. */
public final class PrometheusPlacementObserver implements PlacementObserver {

  private static final double MILLIS_PER_SECOND = 1000;
  private static final double[] QUEUED_SECONDS = {0.001, 0.005, 0.02, 0.1, 0.5, 2};

  private final Counter granted;
  private final Counter refused;
  private final Counter shareRefused;
  private final Counter changes;
  private final Counter limits;
  private final Histogram queued;

  /**
   * Creates an observer and registers its metrics.
   *
   * @param registry the registry of the metrics
   */
  public PrometheusPlacementObserver(PrometheusRegistry registry) {
    granted =
        Counter.builder()
            .name("wagtailpin_placements_granted_total")
            .help("Attempts that got a server, by service and rule")
            .labelNames("service", "rule")
            .register(registry);
    refused =
        Counter.builder()
            .name("wagtailpin_placements_refused_total")
            .help("Attempts that got no server, by service and rule")
            .labelNames("service", "rule")
            .register(registry);
    shareRefused =
        Counter.builder()
            .name("wagtailpin_customer_share_refusals_total")
            .help("Calls beyond their customer's share that got no server, by where it is known")
            .labelNames("service", "sums")
            .register(registry);
    changes =
        Counter.builder()
            .name("wagtailpin_server_changes_total")
            .help("Servers ejected, returned, leaving, staying, cold and warm")
            .labelNames("change")
            .register(registry);
    limits =
        Counter.builder()
            .name("wagtailpin_server_limits_total")
            .help("Limits of requests that servers named or changed, and that ended")
            .labelNames("change")
            .register(registry);
    queued =
        Histogram.builder()
            .name("wagtailpin_placement_queued_seconds")
            .help("Time that granted attempts were queued here")
            .classicOnly()
            .classicUpperBounds(QUEUED_SECONDS)
            .labelNames("service")
            .register(registry);
  }

  @Override
  public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {
    String service = call.route().service();
    granted.labelValues(service, reason.rule().label()).inc();
    queued.labelValues(service).observe(reason.queuedMillis() / MILLIS_PER_SECOND);
  }

  @Override
  public void refused(CallDescriptor call, Fault fault, PlacementReason reason) {
    String service = call.route().service();
    refused.labelValues(service, reason.rule().label()).inc();
    reason
        .excess()
        .map(excess -> excess.domainSums() ? "domain" : "own")
        .ifPresent(sums -> shareRefused.labelValues(service, sums).inc());
  }

  @Override
  public void serverChanged(ConfigServer server, ServerChange change) {
    changes.labelValues(change.label()).inc();
  }

  @Override
  public void limitChanged(ConfigServer server, Optional<Double> perSecond, double sharePerSecond) {
    limits.labelValues(perSecond.isPresent() ? "named" : "ended").inc();
  }
}
