package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.wagtailpin.customer.CustomerIndex;

/** Snapshot of the active configuration, indexed for look-ups by traffic threads. */
public final class ConfigSnapshot {

  // A specific host precedes any host, then the longer prefix and specific methods take precedence;
  // the name makes the order unambiguous.
  private static final Comparator<ConfigRoute> MOST_SPECIFIC_FIRST =
      Comparator.<ConfigRoute, Boolean>comparing(route -> route.host().isEmpty())
          .thenComparing(route -> -route.pathPrefix().length())
          .thenComparing(route -> route.methods().isEmpty())
          .thenComparing(ConfigRoute::name);

  private final long version;
  private final List<ConfigRoute> routes = new ArrayList<>();
  private final Map<String, ConfigService> services = new HashMap<>();
  private final Map<String, List<ConfigServer>> servers = new HashMap<>();
  private final List<ConfigLink> links = new ArrayList<>();
  private final List<ConfigLimit> limits = new ArrayList<>();
  private final List<ConfigCallerGroup> callerGroups = new ArrayList<>();
  private final Set<String> evacuatedDomains = new TreeSet<>();
  private final CustomerIndex customers;

  /**
   * Creates a snapshot.
   *
   * @param version a number that is unique among the snapshots of a process
   * @param objects the active objects; of two services with the same name, the last one applies, of
   *     two limits or links the first one
   */
  public ConfigSnapshot(long version, Collection<ConfigObject> objects) {
    this(version, objects, CustomerIndex.empty());
  }

  /**
   * Creates a snapshot.
   *
   * @param version a number that is unique among the snapshots of a process
   * @param objects the active objects, as for the other constructor
   * @param before the customers of the snapshot before, whose unchanged part is shared
   */
  public ConfigSnapshot(long version, Collection<ConfigObject> objects, CustomerIndex before) {
    this.version = version;
    List<ConfigCustomer> found = new ArrayList<>();
    for (ConfigObject object : objects) {
      add(object, found);
    }
    customers = before.changedTo(found);
    routes.sort(MOST_SPECIFIC_FIRST);
    services.values().forEach(this::limitConnections);
  }

  private void limitConnections(ConfigService service) {
    service
        .connections()
        .ifPresent(
            maxConnections ->
                servers.computeIfPresent(
                    service.name(),
                    (name, held) ->
                        held.stream()
                            .map(server -> server.withMaxConnections(maxConnections))
                            .toList()));
  }

  /** Returns a snapshot without objects, with version 0. */
  public static ConfigSnapshot empty() {
    return new ConfigSnapshot(0, List.of());
  }

  private void add(ConfigObject object, List<ConfigCustomer> found) {
    if (object instanceof ConfigRoute route) {
      routes.add(route);
    } else if (object instanceof ConfigService service) {
      services.put(service.name(), service);
    } else if (object instanceof ConfigServerSet set) {
      servers.computeIfAbsent(set.service(), name -> new ArrayList<>()).addAll(set.servers());
    } else if (object instanceof ConfigLink link) {
      links.add(link);
    } else if (object instanceof ConfigLimit limit) {
      limits.add(limit);
    } else if (object instanceof ConfigCallerGroup group) {
      callerGroups.add(group);
    } else if (object instanceof ConfigDocument document) {
      document.objects().forEach(part -> add(part, found));
    } else if (object instanceof ConfigCustomer customer) {
      found.add(customer);
    } else if (object instanceof ConfigEvacuation evacuation) {
      evacuatedDomains.add(evacuation.failureDomain());
    }
  }

  /** Returns the number that identifies this snapshot within the process. */
  public long version() {
    return version;
  }

  /**
   * Finds the route of a request.
   *
   * @param host the host name without port, in lower case
   * @param path the path without the query
   * @param method the HTTP method
   * @return the most specific route that matches, or empty if none does
   */
  public Optional<ConfigRoute> route(String host, String path, String method) {
    for (ConfigRoute route : routes) {
      if (matches(route, host, path, method)) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static boolean matches(ConfigRoute route, String host, String path, String method) {
    if (route.host().isPresent() && !route.host().get().equals(host)) {
      return false;
    }
    if (!route.methods().isEmpty() && !route.methods().contains(method)) {
      return false;
    }
    return path.startsWith(route.pathPrefix());
  }

  /** Returns the service with a name, or empty if there is none. */
  public Optional<ConfigService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns the servers of a service from all of its sets, none if the service is unknown. */
  public List<ConfigServer> servers(String service) {
    return servers.getOrDefault(service, List.of());
  }

  /** Returns all services, in no particular order. */
  public Collection<ConfigService> services() {
    return services.values();
  }

  /** Returns all routes, the most specific first. */
  public List<ConfigRoute> routes() {
    return routes;
  }

  /** Returns the link between two regions, or empty if no object describes it. */
  public Optional<ConfigLink> link(String one, String other) {
    return links.stream().filter(link -> link.joins(one, other)).findFirst();
  }

  /** Returns all links. */
  public List<ConfigLink> links() {
    return links;
  }

  /** Returns all caller groups. */
  public List<ConfigCallerGroup> callerGroups() {
    return callerGroups;
  }

  /** Returns the customers, by key. */
  public CustomerIndex customers() {
    return customers;
  }

  /** Returns the names of the evacuated failure domains. */
  public Set<String> evacuatedDomains() {
    return evacuatedDomains;
  }

  /**
   * Returns the effective value of a tunable: the value of the service, else the value for all
   * services, else the default.
   *
   * @param tunable the tunable
   * @param service the name of the service
   */
  public double tunable(Tunable tunable, String service) {
    Optional<Double> own = limitValue(tunable, Optional.of(service));
    if (own.isPresent()) {
      return own.get();
    }
    return limitValue(tunable, Optional.empty()).orElse(tunable.defaultValue());
  }

  /**
   * Returns the value set for all services, or empty if no limit object sets one.
   *
   * @param tunable the tunable
   */
  public Optional<Double> globalValue(Tunable tunable) {
    return limitValue(tunable, Optional.empty());
  }

  private Optional<Double> limitValue(Tunable tunable, Optional<String> service) {
    for (ConfigLimit limit : limits) {
      if (limit.service().equals(service) && limit.values().containsKey(tunable)) {
        return Optional.of(limit.values().get(tunable));
      }
    }
    return Optional.empty();
  }
}
