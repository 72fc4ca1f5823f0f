package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.wagtailpin.json.JsonObjectReader;

/** Reads configuration objects from JSON; problems are reported through the object reader. */
final class ObjectFieldsReader {

  static final String KIND = "kind";

  private static final long MAX_DEADLINE_MILLIS = 3_600_000;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_CONNECTIONS = 1_000_000;
  private static final double MAX_ONE_WAY_MILLIS = 10_000;
  private static final long MAX_BYTES_PER_SECOND = 1L << 50;
  private static final double MAX_PROBES_PER_SECOND = 1_000_000;
  private static final double MIN_GROUP_WEIGHT = 0.001;
  private static final double MAX_GROUP_WEIGHT = 1000;
  private static final int MAX_ATTEMPTS = 1_000;
  private static final int MAX_PRIORITY = 1_000;
  private static final double MAX_SPLIT_WEIGHT = 1_000_000_000;
  private static final int MIN_STATUS = 100;
  private static final int MAX_STATUS = 599;

  private static final double MAX_RATE_PER_SECOND = 1_000_000_000;
  private static final double MAX_BURST = 1_000_000_000;

  private static final Map<String, ConfigKind> TICKET_KINDS = kinds();
  private static final Map<String, ConfigKind> DOCUMENT_KINDS = documentKinds();
  private static final Map<String, IdempotencyKeyRule> KEY_RULES = keyRules();

  private static Map<String, ConfigKind> kinds() {
    Map<String, ConfigKind> kinds = new LinkedHashMap<>();
    for (ConfigKind kind : ConfigKind.values()) {
      if (kind.isAllowedInTickets()) {
        kinds.put(kind.label(), kind);
      }
    }
    return kinds;
  }

  private static Map<String, IdempotencyKeyRule> keyRules() {
    Map<String, IdempotencyKeyRule> rules = new LinkedHashMap<>();
    for (IdempotencyKeyRule rule : IdempotencyKeyRule.values()) {
      rules.put(rule.label(), rule);
    }
    return rules;
  }

  private static Map<String, ConfigKind> documentKinds() {
    Map<String, ConfigKind> kinds = kinds();
    kinds.put(ConfigKind.CUSTOMER.label(), ConfigKind.CUSTOMER);
    return kinds;
  }

  /** Reads the kind of an object; a missing kind is reported as a problem. */
  Optional<ConfigKind> kind(JsonObjectReader in) {
    return kind(in, TICKET_KINDS);
  }

  private static Optional<ConfigKind> kind(JsonObjectReader in, Map<String, ConfigKind> kinds) {
    if (!in.has(KIND)) {
      in.addProblem(KIND, "one of " + String.join(", ", kinds.keySet()));
    }
    return in.choice(KIND, kinds);
  }

  /** Reads an object of a known kind; the JSON may omit its kind, but must not name another. */
  ConfigObject read(ConfigKind kind, JsonObjectReader in) {
    Optional<ConfigKind> named =
        in.choice(KIND, kind.isAllowedInTickets() ? TICKET_KINDS : Map.of(kind.label(), kind));
    if (named.isPresent() && named.get() != kind) {
      in.addProblem(KIND, kind.label());
    }
    ConfigObject object =
        switch (kind) {
          case SERVICE -> service(in);
          case ROUTE -> route(in);
          case SERVER_SET -> serverSet(in);
          case LINK -> link(in);
          case LIMIT -> limit(in);
          case CALLER_GROUP -> callerGroup(in);
          case DOCUMENT -> document(in);
          case CUSTOMER -> customer(in);
          case EVACUATION -> new ConfigEvacuation(in.name("name"));
          case TICKET_FLOOR ->
              throw new IllegalArgumentException("a " + kind.label() + " has no JSON form");
        };
    in.endObject();
    return object;
  }

  private static ConfigService service(JsonObjectReader in) {
    String name = in.name("name");
    boolean echoesAttempt = in.bool("echoesAttempt", false);
    List<RefusalPattern> refusals = new ArrayList<>();
    for (JsonObjectReader refusal : in.objects("refusals")) {
      refusals.add(refusal(refusal));
    }
    Optional<String> probePath = path(in, "probePath");
    Optional<Integer> connections =
        in.has("connections")
            ? Optional.of((int) in.integer("connections", 1, MAX_CONNECTIONS))
            : Optional.empty();
    return new ConfigService(
        name,
        echoesAttempt,
        refusals,
        probePath,
        connections,
        in.has("slowStartMillis")
            ? Optional.of(in.integer("slowStartMillis", 0, ConfigServer.MAX_SLOW_START_MILLIS))
            : Optional.empty(),
        in.has("warmupPerSecond")
            ? Optional.of(in.number("warmupPerSecond", 0, MAX_RATE_PER_SECOND))
            : Optional.empty());
  }

  private static RefusalPattern refusal(JsonObjectReader in) {
    int status = (int) in.integer("status", MIN_STATUS, MAX_STATUS);
    String headerName = in.optionalString("headerName").orElse("");
    String headerValue = headerName.isEmpty() ? "" : in.string("headerValue");
    in.endObject();
    return new RefusalPattern(status, headerName, headerValue);
  }

  private static Optional<String> path(JsonObjectReader in, String key) {
    Optional<String> path = in.optionalString(key);
    in.requireValue(path.isEmpty() || path.get().startsWith("/"), key, "a path that begins with /");
    return path;
  }

  private static ConfigRoute route(JsonObjectReader in) {
    String name = in.name("name");
    Optional<String> host = in.optionalString("host");
    in.requireValue(
        host.equals(host.map(text -> text.toLowerCase(Locale.ROOT))),
        "host",
        "a host name in lower case");
    String pathPrefix = path(in, "pathPrefix").orElse("/");
    Set<String> methods = new TreeSet<>(in.strings("methods"));
    in.requireValue(
        methods.stream().allMatch(method -> method.matches("[A-Z]+")),
        "methods",
        "HTTP methods in upper case");
    String service = in.name("service");
    Optional<Boolean> repeatable = in.optionalBool("repeatable");
    long deadlineMillis = in.integer("deadlineMillis", 1, MAX_DEADLINE_MILLIS);
    IdempotencyKeyRule keyRule = in.choice("keyRule", KEY_RULES).orElse(IdempotencyKeyRule.IGNORED);
    boolean mayWait = in.bool("mayWait", false);
    return new ConfigRoute(
        name,
        host,
        pathPrefix,
        methods,
        service,
        repeatable,
        deadlineMillis,
        keyRule,
        mayWait,
        split(in),
        in.has("maxAttempts")
            ? Optional.of((int) in.integer("maxAttempts", 1, MAX_ATTEMPTS))
            : Optional.empty(),
        in.has("targetLatencyMillis")
            ? Optional.of(in.integer("targetLatencyMillis", 1, MAX_DEADLINE_MILLIS))
            : Optional.empty(),
        (int) in.integer("priority", 0, MAX_PRIORITY, 0),
        in.bool("publicAccess", false),
        in.strings("allowedRegions"));
  }

  private static List<WeightedService> split(JsonObjectReader in) {
    List<WeightedService> split = new ArrayList<>();
    for (JsonObjectReader part : in.objects("split")) {
      split.add(
          new WeightedService(part.name("service"), part.number("weight", 0, MAX_SPLIT_WEIGHT)));
      part.endObject();
    }
    return split;
  }

  private ConfigDocument document(JsonObjectReader in) {
    String name = in.name("name");
    List<ConfigObject> objects = new ArrayList<>();
    for (JsonObjectReader object : in.objects("objects")) {
      kind(object, DOCUMENT_KINDS).ifPresent(kind -> objects.add(read(kind, object)));
    }
    return new ConfigDocument(name, objects, in.integer("version", 0, Long.MAX_VALUE, 0));
  }

  private static ConfigCustomer customer(JsonObjectReader in) {
    return new ConfigCustomer(
        in.name("name"),
        in.strings("keys"),
        in.has("priority")
            ? Optional.of((int) in.integer("priority", 0, MAX_PRIORITY))
            : Optional.empty(),
        in.number("ratePerSecond", 0, MAX_RATE_PER_SECOND, 0),
        in.number("burst", 0, MAX_BURST, 0),
        in.strings("allowedRegions"));
  }

  private static ConfigServerSet serverSet(JsonObjectReader in) {
    String name = in.name("name");
    String service = in.name("service");
    List<ConfigServer> servers = new ArrayList<>();
    for (JsonObjectReader server : in.objects("servers")) {
      servers.add(server(server));
    }
    return new ConfigServerSet(name, service, servers);
  }

  private static ConfigServer server(JsonObjectReader in) {
    String name = in.name("name");
    String address = in.string("address");
    if (in.has("address") && !IpAddressSyntax.isIpAddress(address)) {
      in.addProblem("address", "an IP address");
    }
    int port = (int) in.integer("port", 1, MAX_PORT);
    String region = in.name("region");
    String failureDomain = in.name("failureDomain");
    int slots = (int) in.integer("slots", 1, ConfigServer.MAX_SLOTS);
    int connections = (int) in.integer("connections", 1, MAX_CONNECTIONS);
    boolean leaving = in.bool("leaving", false);
    long startedMillis = in.integer("startedMillis", 0, Long.MAX_VALUE, 0);
    int slowStartMillis =
        (int) in.integer("slowStartMillis", 0, ConfigServer.MAX_SLOW_START_MILLIS, 0);
    long sequence = in.integer("sequence", 0, Long.MAX_VALUE, 0);
    in.endObject();
    return new ConfigServer(
        name,
        address,
        port,
        region,
        failureDomain,
        slots,
        connections,
        leaving,
        startedMillis,
        slowStartMillis,
        sequence);
  }

  private static ConfigLink link(JsonObjectReader in) {
    return new ConfigLink(
        in.name("name"),
        in.name("regionA"),
        in.name("regionB"),
        in.number("oneWayMillis", 0, MAX_ONE_WAY_MILLIS),
        in.integer("bytesPerSecond", 0, MAX_BYTES_PER_SECOND),
        in.number("probesPerSecond", 0, MAX_PROBES_PER_SECOND));
  }

  private static ConfigLimit limit(JsonObjectReader in) {
    String name = in.name("name");
    Optional<String> service = in.optionalName("service");
    if (!in.has("values")) {
      in.addProblem("values", "an object");
    }
    Map<Tunable, Double> values =
        in.object("values").map(TunableValuesReader::read).orElseGet(() -> Map.of());
    return new ConfigLimit(name, service, values);
  }

  private static ConfigCallerGroup callerGroup(JsonObjectReader in) {
    String name = in.name("name");
    double weight = in.number("weight", MIN_GROUP_WEIGHT, MAX_GROUP_WEIGHT);
    List<String> blocks = in.strings("addressBlocks");
    if (!blocks.stream().allMatch(IpAddressSyntax::isAddressBlock)) {
      in.addProblem("addressBlocks", "IP address blocks such as 10.1.0.0/16");
    }
    return new ConfigCallerGroup(name, weight, blocks);
  }
}
