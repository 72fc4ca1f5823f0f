package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigLink;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.config.Tunable;

/**
 * The services and servers of the configuration in force, with this entry's state of each.
 *
 * <p>The first thread that sees a new configuration rebuilds the table. Other threads go on with
 * the old one, except for a service that it lacks, for which they wait for the new one. The state
 * of a server is kept as long as its name, address, port and start time stay the same.
 */
final class RoutingTable {

  private record Tables(
      ConfigSnapshot snapshot,
      Map<String, ServiceState> services,
      Map<String, ServerState> servers,
      Map<String, Double> groupWeights) {}

  private static final double DEFAULT_WEIGHT = 1;

  private final ConfigSource config;
  private final Locality locality;
  private final Clock clock;
  private final RegionLinks links;
  private final AtomicBoolean rebuilding = new AtomicBoolean();
  private volatile Tables tables;

  RoutingTable(ConfigSource config, Locality locality, Clock clock, RegionLinks links) {
    this.config = config;
    this.locality = locality;
    this.clock = clock;
    this.links = links;
    ConfigSnapshot none = ConfigSnapshot.empty();
    this.tables = new Tables(none, Map.of(), Map.of(), Map.of());
    refresh();
  }

  Optional<ServiceState> service(String name) {
    refresh();
    Tables newest = tables;
    // A route of the newest configuration can lead to a service that only the table being built
    // has. The wait lasts one rebuild at most and affects only the first calls of a service.
    while (!newest.services().containsKey(name) && config.current() != newest.snapshot()) {
      Thread.onSpinWait();
      refresh();
      newest = tables;
    }
    return Optional.ofNullable(newest.services().get(name));
  }

  /** Returns the part of a call's service that the call may use. */
  Optional<ServiceState> service(CallDescriptor call) {
    return service(call.route().service()).map(service -> service.within(call.regions()));
  }

  double groupWeight(String callerGroup) {
    return tables.groupWeights().getOrDefault(callerGroup, DEFAULT_WEIGHT);
  }

  /** Rebuilds the table if the configuration has changed; otherwise costs one comparison. */
  void refresh() {
    ConfigSnapshot newest = config.current();
    if (newest == tables.snapshot() || !rebuilding.compareAndSet(false, true)) {
      return;
    }
    try {
      Tables before = tables;
      tables = rebuild(newest);
      markRemoved(before, tables);
      links.update(newest);
    } finally {
      rebuilding.set(false);
    }
  }

  /**
   * Marks the servers that the new table no longer has. Calls may still run on them, and the slots
   * that these free must not be given to other calls.
   */
  private static void markRemoved(Tables before, Tables now) {
    for (ServerState server : before.servers().values()) {
      if (now.servers().get(server.server().name()) != server) {
        server.markRemoved();
      }
    }
  }

  private Tables rebuild(ConfigSnapshot snapshot) {
    Map<String, ServiceState> services = new HashMap<>();
    Map<String, ServerState> servers = new HashMap<>();
    for (ConfigService service : snapshot.services()) {
      ServiceView view = view(snapshot, service.name(), servers);
      services.put(service.name(), serviceState(service.name(), view));
    }
    Map<String, Double> weights = new HashMap<>();
    snapshot.callerGroups().forEach(group -> weights.put(group.name(), group.weight()));
    return new Tables(snapshot, services, servers, weights);
  }

  private ServiceState serviceState(String name, ServiceView view) {
    ServiceState known = tables.services().get(name);
    if (known == null) {
      return new ServiceState(name, view);
    }
    known.update(view);
    return known;
  }

  private ServiceView view(
      ConfigSnapshot snapshot, String service, Map<String, ServerState> servers) {
    RoutingSettings settings = new RoutingSettings(snapshot, service);
    boolean newService = !hasServers(tables.services().get(service));
    List<ServerState> near = new ArrayList<>();
    List<ServerState> far = new ArrayList<>();
    for (ConfigServer server : snapshot.servers(service)) {
      double delayMillis = networkDelayMillis(snapshot, settings, server);
      ServerState state = serverState(snapshot, service, server, delayMillis, newService);
      state.evacuated(snapshot.evacuatedDomains().contains(server.failureDomain()), clock.millis());
      state.updateTransferCost(transferMillisPerKib(settings, server));
      servers.put(server.name(), state);
      (server.region().equals(locality.region()) ? near : far).add(state);
    }
    Optional<String> probePath = snapshot.service(service).flatMap(ConfigService::probePath);
    return new ServiceView(near, far, settings, probePath);
  }

  private static boolean hasServers(ServiceState known) {
    return known != null && known.view().size() > 0;
  }

  /**
   * Returns the state of a server. The servers that a new service starts with are taken to be
   * running already, so they take full work at once; other new servers ramp up.
   */
  private ServerState serverState(
      ConfigSnapshot snapshot,
      String service,
      ConfigServer server,
      double networkDelayMillis,
      boolean newService) {
    long now = clock.millis();
    ServerState known = tables.servers().get(server.name());
    if (known != null && sameInstance(known.server(), server)) {
      known.update(server, networkDelayMillis);
      known.cold().configure(snapshot.service(service));
      known.cold().registered(server, now);
      return known;
    }
    long rampStartMillis = newService ? Long.MIN_VALUE / 2 : now;
    ServerState state = new ServerState(server, networkDelayMillis, rampStartMillis);
    state.cold().configure(snapshot.service(service));
    state.cold().registered(server, now);
    if (!newService) {
      state.cold().appeared(ageMillis(server), now);
    }
    return state;
  }

  private long ageMillis(ConfigServer server) {
    return server.startedMillis() == 0 ? 0 : clock.wallMillis() - server.startedMillis();
  }

  /** Returns whether two registrations are of the same run of a server. */
  static boolean sameInstance(ConfigServer one, ConfigServer other) {
    return one.address().equals(other.address())
        && one.port() == other.port()
        && one.startedMillis() == other.startedMillis();
  }

  private double transferMillisPerKib(RoutingSettings settings, ConfigServer server) {
    if (!server.region().equals(locality.region())) {
      return settings.value(Tunable.REGION_MILLIS_PER_KIB);
    }
    boolean sameDomain = server.failureDomain().equals(locality.failureDomain());
    return sameDomain ? 0 : settings.value(Tunable.DOMAIN_MILLIS_PER_KIB);
  }

  private double networkDelayMillis(
      ConfigSnapshot snapshot, RoutingSettings settings, ConfigServer server) {
    if (!server.region().equals(locality.region())) {
      return snapshot
          .link(locality.region(), server.region())
          .map(ConfigLink::oneWayMillis)
          .orElse(settings.value(Tunable.REGION_TRIP_MILLIS));
    }
    boolean sameDomain = server.failureDomain().equals(locality.failureDomain());
    return sameDomain ? 0 : settings.value(Tunable.DOMAIN_TRIP_MILLIS);
  }
}
