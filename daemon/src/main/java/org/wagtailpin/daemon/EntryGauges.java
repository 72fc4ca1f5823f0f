package org.wagtailpin.daemon;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.wagtailpin.backend.UnmatchedReason;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.limits.CustomerAdmission;
import org.wagtailpin.membership.PeerStatus;

/**
 * Prometheus metrics of an entry's state: its configuration, servers and peers, and the age of this
 * information.
 */
final class EntryGauges {

  private static final double MILLIS_PER_SECOND = 1_000;

  private EntryGauges() {}

  static void register(PrometheusRegistry registry, EntryNode node) {
    registerGauge(
        registry, "wagtailpin_ready", "1 if the entry is ready.", () -> node.ready() ? 1 : 0);
    registerGauge(registry, "wagtailpin_calls_in_flight", "Calls in flight.", node::callsInFlight);
    registerGauge(
        registry,
        "wagtailpin_backend_connections",
        "Open connections to backend servers.",
        node.traffic()::backendConnections);
    registerGauge(
        registry,
        "wagtailpin_config_age_seconds",
        "Time since the newest change of the configuration in force.",
        () -> seconds(node.control().configAgeMillis()));
    GaugeWithCallback.builder()
        .name("wagtailpin_store_silence_seconds")
        .help("Time since the store last answered a list or a watch.")
        .callback(
            gauge ->
                node.control()
                    .storeSilenceMillis()
                    .ifPresent(millis -> gauge.call(seconds(millis))))
        .register(registry);
    registerGauge(
        registry,
        "wagtailpin_store_era",
        "Latest era of the store, which rises when it is restored from an older copy.",
        node.control()::storeEra);
    registerCounter(
        registry,
        "wagtailpin_store_answers_of_earlier_era",
        "Answers of the store that were discarded because it was restored since.",
        node.control()::storeAnswersOfEarlierEra);
    registerCounter(
        registry,
        "wagtailpin_backend_stale_answers",
        "Answers discarded because they belonged to an earlier request.",
        node.traffic()::staleAnswers);
    registerUnmatchedAnswers(registry, node.traffic()::unmatchedAnswers);
    ConfigGauges.register(
        registry,
        node.clock(),
        node.control()::configInForce,
        node.control()::stateConfirmation,
        node.control()::watchPhase);
    registerGauge(
        registry,
        "wagtailpin_evacuated_domains",
        "Failure domains whose servers get no requests.",
        () -> node.control().published().current().evacuatedDomains().size());
    registerServerGauges(registry, node);
    registerPeerGauges(registry, node);
    registerCustomerGauges(
        registry, node.control().published()::current, node.control().customerAdmission());
    registerCounter(
        registry, "wagtailpin_log_lines_dropped", "Log lines dropped.", node.events()::dropped);
    registerCounter(
        registry,
        "wagtailpin_log_lines_not_sampled",
        "Log lines of requests outside the sample.",
        node.events()::notSampled);
  }

  /** Registers the counter of input that matched no request. */
  static void registerUnmatchedAnswers(
      PrometheusRegistry registry, ToDoubleFunction<UnmatchedReason> count) {
    CounterWithCallback.builder()
        .name("wagtailpin_backend_unmatched_answers")
        .help("Input of backend servers that was discarded or refused, as it matched no request.")
        .labelNames("reason")
        .callback(
            counter -> {
              for (UnmatchedReason reason : UnmatchedReason.values()) {
                counter.call(count.applyAsDouble(reason), reason.label());
              }
            })
        .register(registry);
  }

  private static void registerServerGauges(PrometheusRegistry registry, EntryNode node) {
    GaugeWithCallback.builder()
        .name("wagtailpin_servers")
        .help("Backend servers by service and state.")
        .labelNames("service", "state")
        .callback(
            gauge -> {
              ConfigSnapshot config = node.control().published().current();
              for (ConfigService service : config.services()) {
                String serviceName = service.name();
                List<ConfigServer> servers = config.servers(serviceName);
                int leaving = (int) servers.stream().filter(ConfigServer::leaving).count();
                gauge.call(servers.size() - leaving, serviceName, "serving");
                gauge.call(leaving, serviceName, "leaving");
              }
            })
        .register(registry);
  }

  private static void registerCustomerGauges(
      PrometheusRegistry registry, Supplier<ConfigSnapshot> config, CustomerAdmission customers) {
    GaugeWithCallback.builder()
        .name("wagtailpin_customers_over_share")
        .help("Customers that ask an overloaded service for more than their share.")
        .labelNames("service")
        .callback(
            gauge -> {
              for (ConfigService service : config.get().services()) {
                gauge.call(customers.excessiveCustomers(service.name()), service.name());
              }
            })
        .register(registry);
    GaugeWithCallback.builder()
        .name("wagtailpin_customer_sums_age_seconds")
        .help("Age of the sums of the failure domain by which customers share capacity.")
        .callback(
            gauge ->
                customers
                    .sumsAgeMillis()
                    .ifPresent(millis -> gauge.call(millis / MILLIS_PER_SECOND)))
        .register(registry);
  }

  private static void registerPeerGauges(PrometheusRegistry registry, EntryNode node) {
    registerGauge(
        registry,
        "wagtailpin_peers",
        "Other entries that are counted.",
        () -> node.control().membership().status().peers().size());
    registerGauge(
        registry,
        "wagtailpin_peer_silence_seconds",
        "Time since the entry that is silent longest was heard.",
        () ->
            seconds(
                node.control().membership().status().peers().stream()
                    .map(PeerStatus::heardAgoMillis)
                    .flatMap(Optional::stream)
                    .mapToLong(Long::longValue)
                    .max()
                    .orElse(0)));
  }

  private static double seconds(long millis) {
    return millis / MILLIS_PER_SECOND;
  }

  private static void registerGauge(
      PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(gauge -> gauge.call(value.getAsDouble()))
        .register(registry);
  }

  private static void registerCounter(
      PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
    CounterWithCallback.builder()
        .name(name)
        .help(help)
        .callback(counter -> counter.call(value.getAsDouble()))
        .register(registry);
  }
}
