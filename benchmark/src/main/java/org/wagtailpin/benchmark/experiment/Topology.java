package org.wagtailpin.benchmark.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtailpin.benchmark.experiment.ExperimentFile.RouteSpec;
import org.wagtailpin.benchmark.experiment.ExperimentFile.ServiceSpec;
import org.wagtailpin.config.ConfigCallerGroup;
import org.wagtailpin.config.ConfigLimit;
import org.wagtailpin.config.ConfigLink;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.routing.Locality;

/** Regions and failure domains of an experiment's entries and servers, and its configuration. */
final class Topology {

  private static final int DOMAINS_PER_REGION = 2;

  private final ExperimentFile file;

  Topology(ExperimentFile file) {
    this.file = file;
  }

  /** Returns the locality of an entry or server by its number; regions alternate. */
  Locality locality(int number) {
    int regions = file.regions().size();
    String region = file.regions().get(number % regions);
    return new Locality(region, region + "-" + (number / regions) % DOMAINS_PER_REGION);
  }

  static String serverName(ServiceSpec service, int number) {
    return service.name() + "-" + number;
  }

  double oneWayMillis(Locality one, Locality other) {
    if (!one.region().equals(other.region())) {
      return file.regionMillis();
    }
    return one.failureDomain().equals(other.failureDomain()) ? 0 : file.domainMillis();
  }

  /**
   * Returns the configuration for all entries.
   *
   * @param ports the ports of all servers by server name
   */
  ConfigSnapshot snapshot(Map<String, Integer> ports) {
    List<ConfigObject> objects = new ArrayList<>(links());
    for (ServiceSpec service : file.services()) {
      objects.add(new ConfigService(service.name(), true, List.of(), Optional.empty()));
      objects.add(new ConfigServerSet(service.name(), service.name(), servers(service, ports)));
      service.routes().forEach(route -> objects.add(route(service, route)));
    }
    file.groups()
        .forEach(
            group -> objects.add(new ConfigCallerGroup(group.name(), group.weight(), List.of())));
    file.tunables().forEach((name, value) -> objects.add(limit(name, value)));
    return new ConfigSnapshot(1, objects);
  }

  private static ConfigLimit limit(String name, double value) {
    Tunable tunable =
        Tunable.ofLabel(name)
            .orElseThrow(() -> new IllegalArgumentException("unknown tunable " + name));
    return new ConfigLimit(name, Optional.empty(), Map.of(tunable, value));
  }

  private List<ConfigServer> servers(ServiceSpec service, Map<String, Integer> ports) {
    List<ConfigServer> servers = new ArrayList<>();
    for (int i = 0; i < service.servers(); i++) {
      String name = serverName(service, i);
      Locality locality = locality(i);
      servers.add(
          new ConfigServer(
              name,
              "127.0.0.1",
              ports.get(name),
              locality.region(),
              locality.failureDomain(),
              service.slots(),
              file.connections(),
              false));
    }
    return servers;
  }

  private static ConfigRoute route(ServiceSpec service, RouteSpec route) {
    return new ConfigRoute(
        route.name(),
        Optional.empty(),
        "/" + route.name(),
        Set.of(),
        service.name(),
        Optional.of(route.repeatable()),
        route.deadlineMillis(),
        IdempotencyKeyRule.IGNORED,
        route.mayWait());
  }

  private List<ConfigLink> links() {
    List<ConfigLink> links = new ArrayList<>();
    Set<String> done = new HashSet<>();
    for (String one : file.regions()) {
      done.add(one);
      for (String other : file.regions()) {
        if (!done.contains(other)) {
          links.add(link(one, other));
        }
      }
    }
    return links;
  }

  private ConfigLink link(String one, String other) {
    return new ConfigLink(
        one + "-" + other,
        one,
        other,
        file.regionMillis(),
        file.linkBytesPerSecond(),
        file.probesPerSecond());
  }
}
