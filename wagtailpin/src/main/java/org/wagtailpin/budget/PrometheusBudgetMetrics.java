package org.wagtailpin.budget;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts units by the kind of budget. Thread-safe. */
public final class PrometheusBudgetMetrics implements BudgetMetrics {

  private final Counter granted;
  private final Counter borrowed;
  private final Counter denied;
  private final Counter expired;

  /**
   * Creates the metrics and registers them.
   *
   * @param registry the registry of the metrics
   */
  public PrometheusBudgetMetrics(PrometheusRegistry registry) {
    granted = counter(registry, "granted", "Units of shared budgets that calls were granted.");
    borrowed = counter(registry, "borrowed", "Units that this entry borrowed from other domains.");
    denied = counter(registry, "denied", "Units of shared budgets that calls were denied.");
    expired = counter(registry, "expired", "Units that expired before they were used.");
  }

  private static Counter counter(PrometheusRegistry registry, String name, String help) {
    return Counter.builder()
        .name("wagtailpin_budget_units_" + name)
        .help(help)
        .labelNames("kind")
        .register(registry);
  }

  @Override
  public void granted(BudgetKind kind, double units) {
    granted.labelValues(kind.label()).inc(units);
  }

  @Override
  public void borrowed(BudgetKind kind, double units) {
    borrowed.labelValues(kind.label()).inc(units);
  }

  @Override
  public void denied(BudgetKind kind, double units) {
    denied.labelValues(kind.label()).inc(units);
  }

  @Override
  public void expired(BudgetKind kind, double units) {
    expired.labelValues(kind.label()).inc(units);
  }
}
