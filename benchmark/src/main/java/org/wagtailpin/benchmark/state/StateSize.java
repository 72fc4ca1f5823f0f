package org.wagtailpin.benchmark.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtailpin.config.ConfigCallerGroup;
import org.wagtailpin.config.ConfigLimit;
import org.wagtailpin.config.ConfigLink;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.config.RefusalPattern;
import org.wagtailpin.config.Tunable;

/**
 * Size of a generated configuration; {@link #objects} creates its objects.
 *
 * @param servers number of backend servers, spread evenly over the services
 * @param services number of services
 */
record StateSize(int servers, int services) {

  private static final int ROUTES_PER_SERVICE = 3;
  private static final int CALLER_GROUPS = 16;
  private static final int REGIONS = 2;
  private static final int DOMAINS = 6;

  List<ConfigObject> objects() {
    List<ConfigObject> objects = new ArrayList<>();
    for (int service = 0; service < services; service++) {
      addService(service, objects);
    }
    for (int group = 0; group < CALLER_GROUPS; group++) {
      objects.add(new ConfigCallerGroup("group-" + group, 1, List.of("10." + group + ".0.0/16")));
    }
    objects.add(new ConfigLink("north-south", "north", "south", 8, 500_000_000L, 40));
    return objects;
  }

  private void addService(int number, List<ConfigObject> objects) {
    String name = "service-" + number;
    RefusalPattern refusal = new RefusalPattern(503, "Not-Run", "true");
    objects.add(new ConfigService(name, true, List.of(refusal), Optional.of("/load")));
    for (int route = 0; route < ROUTES_PER_SERVICE; route++) {
      objects.add(
          new ConfigRoute(
              name + "-route-" + route,
              Optional.of(name + ".example"),
              "/path/" + route,
              Set.of("GET", "POST"),
              name,
              Optional.of(route == 0),
              2000,
              IdempotencyKeyRule.OPTIONAL,
              false));
    }
    objects.add(
        new ConfigLimit(
            name, Optional.of(name), Map.of(Tunable.RETRY_SHARE, 0.1, Tunable.MAX_ATTEMPTS, 3.0)));
    objects.add(new ConfigServerSet(name, name, serversOf(number)));
  }

  private List<ConfigServer> serversOf(int service) {
    List<ConfigServer> set = new ArrayList<>();
    for (int server = service; server < servers; server += services) {
      int domain = server % DOMAINS;
      String region = domain % REGIONS == 0 ? "north" : "south";
      String address = "10.200." + server / 250 + "." + server % 250;
      set.add(
          new ConfigServer(
              "service-" + service + "-server-" + server,
              address,
              8080,
              region,
              region + "-" + domain,
              6,
              240,
              false));
    }
    return set;
  }
}
