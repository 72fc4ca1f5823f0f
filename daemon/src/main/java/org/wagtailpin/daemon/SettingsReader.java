package org.wagtailpin.daemon;

import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.config.TunableValuesReader;
import org.wagtailpin.eventlog.EventLogSettings;
import org.wagtailpin.json.JsonObjectReader;
import org.wagtailpin.json.JsonParseResult;
import org.wagtailpin.json.JsonProblems;
import org.wagtailpin.json.JsonTextParser;

/** Reads an entry's settings, which are JSON with comments. Thread-safe. */
public final class SettingsReader {

  private static final int MAX_PORT = 65_535;
  private static final int MAX_TRAFFIC_THREADS = 64;
  private static final long MAX_DURATION_MILLIS = 3_600_000;
  private static final long MIN_PROPAGATION_MILLIS = 100;
  private static final int MAX_LOG_LINES = 1_000_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  private static final String ADDRESS_EXPECTED =
      "an object with address and port, or a text such as 10.0.0.1:7400";

  private static final int DEFAULT_TRAFFIC_THREADS = 4;
  private static final long DEFAULT_NOTICE_MILLIS = 3_000;
  private static final long DEFAULT_GRACE_MILLIS = 30_000;

  private final JsonTextParser parser = new JsonTextParser();

  /**
   * Reads settings.
   *
   * @param file the file name used in problems
   * @param text the content of the file, in UTF-8
   * @return the settings, or all problems of the text; only the first one if it is not valid JSON
   */
  public SettingsReadResult read(String file, byte[] text) {
    JsonParseResult parsed = parser.parse(file, text);
    if (parsed instanceof JsonParseResult.Malformed malformed) {
      return new SettingsReadResult.Malformed(List.of(malformed.problem()));
    }
    JsonProblems problems = new JsonProblems();
    JsonObjectReader in =
        JsonObjectReader.of(((JsonParseResult.Parsed) parsed).value(), "", problems);
    EntrySettings settings = settings(in);
    in.endObject();
    return problems.isEmpty()
        ? new SettingsReadResult.Read(settings)
        : new SettingsReadResult.Malformed(problems.all());
  }

  private static EntrySettings settings(JsonObjectReader in) {
    StopTimes stopTimes = stopTimes(in);
    return new EntrySettings(
        in.name("id"),
        in.name("region"),
        in.name("failureDomain"),
        address(in, "callers"),
        in.object("internal").map(SettingsReader::address),
        address(in, "admin"),
        address(in, "peers"),
        in.has("metrics") ? Optional.of(address(in, "metrics")) : Optional.empty(),
        seeds(in),
        uri(in, "store").orElse(URI.create("http://127.0.0.1")),
        in.has("hostList") ? uri(in, "hostList") : Optional.empty(),
        (int) in.integer("trafficThreads", 1, MAX_TRAFFIC_THREADS, DEFAULT_TRAFFIC_THREADS),
        stopTimes.noticeMillis(),
        stopTimes.graceMillis(),
        in.integer(
            "propagationMillis",
            MIN_PROPAGATION_MILLIS,
            MAX_DURATION_MILLIS,
            EntrySettings.DEFAULT_PROPAGATION_MILLIS),
        in.integer(
            "withdrawalMillis",
            MIN_PROPAGATION_MILLIS,
            MAX_DURATION_MILLIS,
            EntrySettings.DEFAULT_PROPAGATION_MILLIS),
        in.bool("firstStart", false),
        eventLog(in),
        failureDomains(in),
        constants(in),
        seed(in));
  }

  /** Either both times are given, or the time until the process would be killed. */
  private static StopTimes stopTimes(JsonObjectReader in) {
    if (!in.has("stopWithinSeconds")) {
      return new StopTimes(
          in.integer("noticeMillis", 0, MAX_DURATION_MILLIS, DEFAULT_NOTICE_MILLIS),
          in.integer("graceMillis", 0, MAX_DURATION_MILLIS, DEFAULT_GRACE_MILLIS));
    }
    double seconds =
        in.number(
            "stopWithinSeconds",
            StopTimes.MIN_STOP_MILLIS / MILLIS_PER_SECOND,
            MAX_DURATION_MILLIS / MILLIS_PER_SECOND);
    for (String key : List.of("noticeMillis", "graceMillis")) {
      if (in.has(key)) {
        in.addProblem(key, "either stopWithinSeconds or noticeMillis and graceMillis");
      }
    }
    return StopTimes.within((long) (seconds * MILLIS_PER_SECOND));
  }

  private static EventLogSettings eventLog(JsonObjectReader in) {
    EventLogSettings defaultSettings = EventLogSettings.defaults();
    int lineCapacity =
        (int) in.integer("decisionLogCapacity", 1, MAX_LOG_LINES, defaultSettings.maxQueuedLines());
    return in.object("eventLog")
        .map(log -> eventLog(log, lineCapacity))
        .orElseGet(() -> defaultSettings.withMaxQueuedLines(lineCapacity));
  }

  private static EventLogSettings eventLog(JsonObjectReader in, int lineCapacity) {
    EventLogSettings defaultSettings = EventLogSettings.defaults();
    EventLogSettings read =
        new EventLogSettings(
            lineCapacity,
            (int) in.integer("linesPerSecond", 0, MAX_LOG_LINES, defaultSettings.linesPerSecond()),
            (int)
                in.integer(
                    "failureLinesPerSecond",
                    1,
                    MAX_LOG_LINES,
                    defaultSettings.failureLinesPerSecond()),
            in.integer("gatherMillis", 0, MAX_DURATION_MILLIS, defaultSettings.gatherMillis()));
    in.endObject();
    return read;
  }

  private static Map<String, String> failureDomains(JsonObjectReader in) {
    Map<String, String> regions = new HashMap<>();
    in.object("failureDomains")
        .ifPresent(
            domains -> domains.keys().forEach(domain -> regions.put(domain, domains.name(domain))));
    return regions;
  }

  private static Map<Tunable, Double> constants(JsonObjectReader in) {
    return in.object("constants").map(TunableValuesReader::read).orElseGet(() -> Map.of());
  }

  private static ListenAddress address(JsonObjectReader in, String key) {
    in.requireKey(key, ADDRESS_EXPECTED);
    if (in.isString(key)) {
      return addressText(in, key, in.string(key));
    }
    return in.object(key)
        .map(SettingsReader::address)
        .orElseGet(() -> new ListenAddress("127.0.0.1", 0));
  }

  private static ListenAddress address(JsonObjectReader in) {
    String address = in.string("address");
    int port = (int) in.integer("port", 0, MAX_PORT);
    in.endObject();
    return new ListenAddress(address, port);
  }

  private static ListenAddress addressText(JsonObjectReader in, String key, String text) {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 0 && port <= MAX_PORT) {
        return new ListenAddress(text.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // Reported below, like any other text that is not an address.
    }
    in.addProblem(key, ADDRESS_EXPECTED);
    return new ListenAddress("127.0.0.1", 0);
  }

  private static List<ListenAddress> seeds(JsonObjectReader in) {
    List<ListenAddress> seeds = new ArrayList<>();
    if (in.isString("seeds")) {
      for (String text : in.string("seeds").split(",", -1)) {
        seeds.add(addressText(in, "seeds", text));
      }
    } else if (in.has("seeds")) {
      in.objects("seeds").forEach(seed -> seeds.add(address(seed)));
    }
    return seeds;
  }

  private static Optional<URI> uri(JsonObjectReader in, String key) {
    String text = in.string(key);
    try {
      URI uri = URI.create(text);
      if ("http".equals(uri.getScheme()) && uri.getHost() != null) {
        return Optional.of(uri);
      }
    } catch (IllegalArgumentException e) {
      // Reported below, like any other text that is not an HTTP URL.
    }
    in.addProblem(key, "an address such as http://10.0.0.1:7400");
    return Optional.empty();
  }

  private static Optional<Long> seed(JsonObjectReader in) {
    return in.has("seed") ? Optional.of(in.integer("seed", 0, Long.MAX_VALUE)) : Optional.empty();
  }
}
