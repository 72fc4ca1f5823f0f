package org.wagtailpin.daemon;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigInForce;
import org.wagtailpin.config.StateConfirmation;
import org.wagtailpin.registry.WatchPhase;

/**
 * Prometheus metrics that show which configuration is in force at an entry, how old the knowledge
 * is that it is the store's, and what the entry's watch of the store waits for.
 */
final class ConfigGauges {

  private static final double MILLIS_PER_SECOND = 1_000;

  private ConfigGauges() {}

  /**
   * Registers the metrics.
   *
   * @param registry receives them
   * @param clock the monotonic clock of the times
   * @param inForce supplies the configuration in force; thread-safe
   * @param confirmation supplies when the state was last known to be the store's; thread-safe
   * @param phase supplies what the watch waits for, empty if there is no registry; thread-safe
   */
  static void register(
      PrometheusRegistry registry,
      Clock clock,
      Supplier<ConfigInForce> inForce,
      Supplier<Optional<StateConfirmation>> confirmation,
      Supplier<Optional<WatchPhase>> phase) {
    registerGauge(
        registry,
        "wagtailpin_config_revision",
        "Store revision or ticket number of the configuration in force, without servers.",
        () -> inForce.get().revision());
    registerGauge(
        registry,
        "wagtailpin_config_revision_age_seconds",
        "Time since that configuration came into force.",
        () -> secondsSince(inForce.get().sinceMillis(), clock));
    GaugeWithCallback.builder()
        .name("wagtailpin_config_confirmation_age_seconds")
        .help("Time since the store, or the watcher that is followed, confirmed the state.")
        .labelNames("by")
        .callback(
            gauge ->
                confirmation
                    .get()
                    .ifPresent(last -> gauge.call(secondsSince(last.atMillis(), clock), last.by())))
        .register(registry);
    GaugeWithCallback.builder()
        .name("wagtailpin_store_watch_wait_seconds")
        .help("How long the watch of the store has been waiting, by what it waits for.")
        .labelNames("awaits")
        .callback(
            gauge ->
                phase
                    .get()
                    .filter(now -> now.awaits() != WatchPhase.Awaits.STOPPED)
                    .ifPresent(
                        now ->
                            gauge.call(
                                secondsSince(now.sinceMillis(), clock), now.awaits().label())))
        .register(registry);
  }

  private static double secondsSince(long millis, Clock clock) {
    return (clock.millis() - millis) / MILLIS_PER_SECOND;
  }

  private static void registerGauge(
      PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(gauge -> gauge.call(value.getAsDouble()))
        .register(registry);
  }
}
