package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * All open connections to the store go silent while new ones work, and just then an upstream leaves
 * whose entry is removed without a report that it drains.
 */
public final class SilentStore {

  private static final Map<String, String> ZONES =
      new TreeMap<>(
          Map.of("espoo-a", "uusimaa", "kuopio-a", "savo", "vaasa-a", "pohjanmaa"));
  private static final String CONFIG =
      """
      {"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,\
      "headerTimeoutMs":3000,"idleTimeoutMs":15000},"baseVersion":5,"listeners":[\
      {"host":"shop.example","rules":[{"name":"r-orders","kind":"unsafe","targetLatencyMs":400,\
      "priority":0,"match":{"pathPrefix":"/orders/"},\
      "action":{"service":"orders","timeoutMs":1500,"maxAttempts":2}}]}],\
      "clusters":[{"name":"orders","healthPath":"/health","maxConnections":220,"protocol":"h1",\
      "tls":false}]}""";

  private static final int ROUNDS = 3;
  private static final int SERVERS = 14;
  private static final long DRAIN_MILLIS = 2_000;
  private static final long LEAVE_AFTER_MILLIS = 500;
  private static final long STABLE_WINDOW_MILLIS = 3_000;
  private static final long CALM_MILLIS = 5_000;
  private static final long ROUND_MILLIS = 7_000;
  private static final long PERIOD_MILLIS = 10;

  private SilentStore() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store("127.0.2.1")) {
      code = run(trouble, store, record);
    }
    Result.end(code);
  }

  private static int run(boolean trouble, Store store, Record record) throws Exception {
    store.put("op/config", CONFIG);
    List<Upstream> upstreams = new ArrayList<>();
    List<String> zones = new ArrayList<>(ZONES.keySet());
    for (int i = 0; i < SERVERS; i++) {
      upstreams.add(
          new Upstream(
              "i-" + i, "orders", zones.get(i % 3), "127.0.4." + (i + 1), 2, 4, 20, store, record));
    }
    Path folder = Entry.temporaryFolder();
    List<Entry> entries = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      entries.add(new Entry("front-" + zones.get(i % 3) + "-" + i / 3, "127.0.3." + (i + 1), folder));
    }
    String seeds =
        entries.get(0).controlAddress()
            + "," + entries.get(1).controlAddress()
            + "," + entries.get(2).controlAddress();
    List<StoreProxy> proxies = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      proxies.add(new StoreProxy("127.0.2.2", "127.0.2.1", store.port()));
      Entry.Site site = new Entry.Site(proxies.get(i).address(), ZONES, seeds);
      entries.get(i).start(site, zones.get(i % 3), true);
    }
    for (Entry entry : entries) {
      if (!entry.awaitReady(20_000)) {
        record.result("the entry %s does not get ready", entry.name());
        return 2;
      }
    }
    boolean[] stopped = {false};
    Threads.start("clients", () -> send(entries, stopped, record));
    int late = 0;
    for (int round = 0; round < ROUNDS; round++) {
      Threads.sleep(CALM_MILLIS);
      Upstream leaving = busiest(upstreams);
      upstreams.remove(leaving);
      late += round(trouble, proxies, leaving, record);
    }
    stopped[0] = true;
    record.result("DRAIN: %d requests reached an upstream too late after it had left", late);
    entries.forEach(Entry::close);
    return late > 0 ? 1 : 0;
  }

  /** Returns the upstream that got most requests lately. */
  private static Upstream busiest(List<Upstream> upstreams) {
    long since = System.nanoTime() / 1_000_000 - STABLE_WINDOW_MILLIS;
    return upstreams.stream()
        .max(
            Comparator.comparingLong(
                each -> each.arrivals().stream().filter(arrival -> arrival > since).count()))
        .orElseThrow();
  }

  private static int round(boolean trouble, List<StoreProxy> proxies, Upstream leaving, Record record) {
    long silentFrom = System.nanoTime() / 1_000_000;
    if (trouble) {
      proxies.forEach(StoreProxy::silenceOpenConnections);
      record.line("the open connections to the store go silent");
    }
    Threads.sleep(LEAVE_AFTER_MILLIS);
    leaving.unregister();
    long acknowledged = System.nanoTime() / 1_000_000;
    record.line("the store has removed the entry of %s", leaving.id());
    Threads.sleep(ROUND_MILLIS);
    int late = 0;
    long last = 0;
    for (long arrival : leaving.arrivals()) {
      boolean inTouch = arrival > silentFrom + STABLE_WINDOW_MILLIS;
      late += inTouch && arrival > acknowledged + DRAIN_MILLIS ? 1 : 0;
      last = Math.max(last, arrival - acknowledged);
    }
    record.result(
        "%s: %d requests later than %d ms, the last %d ms after its entry was removed",
        leaving.id(), late, DRAIN_MILLIS, last);
    return late;
  }

  private static void send(List<Entry> entries, boolean[] stopped, Record record) {
    int requests = 0;
    while (!stopped[0]) {
      String id = "q%05d".formatted(requests);
      Entry entry = entries.get(requests % entries.size());
      requests++;
      Threads.start(
          "client",
          () -> {
            record.line("client sends %s to %s", id, entry.name());
            Client.Answer answer = Client.send(entry, "POST", "/orders/1", id, 3_000);
            record.line("client gets %d for %s", answer.status(), id);
          });
      Threads.sleep(PERIOD_MILLIS);
    }
  }
}
