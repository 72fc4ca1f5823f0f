package org.wagtailpin.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Sample objects of every kind that tickets can contain. */
final class ConfigExamples {

  private ConfigExamples() {}

  static ConfigService service(String name) {
    return new ConfigService(
        name, true, List.of(new RefusalPattern(503, "Not-Run", "yes")), Optional.of("/load"));
  }

  static ConfigRoute route(String name, String service) {
    return new ConfigRoute(
        name,
        Optional.of("shop.example"),
        "/orders",
        Set.of("POST", "GET"),
        service,
        Optional.of(false),
        2500,
        IdempotencyKeyRule.REQUIRED,
        true);
  }

  static ConfigServer server(String name) {
    return new ConfigServer(name, "10.0.0.7", 8080, "savo", "savo-1", 2, 220, false);
  }

  static ConfigServerSet serverSet(String name, String service, ConfigServer... servers) {
    return new ConfigServerSet(name, service, List.of(servers));
  }

  static ConfigLink link() {
    return new ConfigLink("tunis-savo", "tunis", "savo", 8.5, 500_000_000L, 40);
  }

  static ConfigLimit limit(String name, String service) {
    return new ConfigLimit(
        name, Optional.of(service), Map.of(Tunable.RETRY_SHARE, 0.05, Tunable.MAX_ATTEMPTS, 2.0));
  }

  static ConfigCallerGroup group() {
    return new ConfigCallerGroup("members", 2.5, List.of("10.1.0.0/16", "2001:db8::/32"));
  }

  static List<ConfigObject> all() {
    return List.of(
        service("orders"),
        route("orders", "orders"),
        serverSet("orders", "orders", server("savo-1"), server("savo-2")),
        link(),
        limit("orders", "orders"),
        group());
  }

  static VersionedObject at(long ticket, ConfigObject object) {
    return new VersionedObject(object.id(), ticket, Optional.of(object));
  }

  static VersionedObject removed(long ticket, ObjectId id) {
    return new VersionedObject(id, ticket, Optional.empty());
  }
}
