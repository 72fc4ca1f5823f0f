package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks the consistency of the objects of a configuration.
 *
 * <p>Every referenced service must exist, every key that is used for look-ups (server name and
 * address, route match, region pair, tunable, address block) must be unique, and limits must be
 * satisfiable.
 */
final class StateChecker {

  private final List<TicketProblem> problems = new ArrayList<>();
  private final Set<String> services = new HashSet<>();
  private final Map<String, ObjectId> owners = new HashMap<>();

  private StateChecker() {}

  /** Returns the inconsistencies of a configuration, empty if there are none. */
  static List<TicketProblem> check(Collection<ConfigObject> objects) {
    StateChecker checker = new StateChecker();
    for (ConfigObject object : objects) {
      if (object instanceof ConfigService service) {
        checker.services.add(service.name());
      }
    }
    objects.forEach(checker::checkObject);
    return checker.problems;
  }

  private void checkObject(ConfigObject object) {
    if (object instanceof ConfigRoute route) {
      checkRoute(route);
    } else if (object instanceof ConfigServerSet set) {
      checkServerSet(set);
    } else if (object instanceof ConfigLink link) {
      checkLink(link);
    } else if (object instanceof ConfigLimit limit) {
      checkLimit(limit);
    } else if (object instanceof ConfigCallerGroup group) {
      checkCallerGroup(group);
    }
  }

  private void checkRoute(ConfigRoute route) {
    checkService(route.id(), route.service());
    String match =
        route.host().orElse("any host") + " " + route.pathPrefix() + " " + sorted(route.methods());
    checkUnique(route.id(), "pathPrefix", "match of " + match);
  }

  private static List<String> sorted(Collection<String> texts) {
    return texts.stream().sorted().toList();
  }

  private void checkServerSet(ConfigServerSet set) {
    checkService(set.id(), set.service());
    for (ConfigServer server : set.servers()) {
      checkUnique(set.id(), "servers", "server " + server.name());
      checkUnique(set.id(), "servers", "address " + server.address() + " port " + server.port());
      if (server.connections() < server.slots()) {
        problems.add(
            new TicketProblem(
                set.id(),
                "servers",
                "server " + server.name() + " with " + server.connections() + " connections",
                "at least as many connections as its " + server.slots() + " slots"));
      }
    }
  }

  private void checkLink(ConfigLink link) {
    if (link.regionA().equals(link.regionB())) {
      problems.add(
          new TicketProblem(link.id(), "regionB", link.regionB(), "another region than regionA"));
    }
    List<String> regions = sorted(List.of(link.regionA(), link.regionB()));
    checkUnique(link.id(), "regionA", "link of regions " + String.join(" and ", regions));
    if (link.bytesPerSecond() == 0 && link.probesPerSecond() > 0) {
      problems.add(
          new TicketProblem(link.id(), "probesPerSecond", "probes on a link without traffic", "0"));
    }
  }

  private void checkLimit(ConfigLimit limit) {
    limit.service().ifPresent(service -> checkService(limit.id(), service));
    String scope = limit.service().map(name -> "service " + name).orElse("all services");
    for (Map.Entry<Tunable, Double> value : limit.values().entrySet()) {
      Tunable tunable = value.getKey();
      checkUnique(limit.id(), tunable.label(), tunable.label() + " of " + scope);
      if (!(value.getValue() >= tunable.min() && value.getValue() <= tunable.max())) {
        String range = "a number from " + tunable.min() + " to " + tunable.max();
        problems.add(
            new TicketProblem(limit.id(), tunable.label(), value.getValue().toString(), range));
      }
    }
  }

  private void checkCallerGroup(ConfigCallerGroup group) {
    for (String block : group.addressBlocks()) {
      checkUnique(group.id(), "addressBlocks", "address block " + block);
    }
  }

  private void checkService(ObjectId id, String service) {
    if (!services.contains(service)) {
      problems.add(new TicketProblem(id, "service", service, "the name of a service"));
    }
  }

  private void checkUnique(ObjectId id, String key, String item) {
    ObjectId owner = owners.putIfAbsent(item, id);
    if (owner != null) {
      problems.add(
          new TicketProblem(id, key, item + ", which " + owner + " has", "one owner of it"));
    }
  }
}
