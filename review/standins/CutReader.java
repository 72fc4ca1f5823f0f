package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * In a deployment of one zone, the entry that reads the store is cut from it just before the
 * configuration moves a route; the other entries are calm.
 */
public final class CutReader {

  private static final Map<String, String> ZONES =
      new TreeMap<>(Map.of("porvoo-b", "uusimaa"));
  private static final String ZONE = "porvoo-b";
  private static final String CONFIG =
      """
      {"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,\
      "headerTimeoutMs":3000,"idleTimeoutMs":15000},"baseVersion":5,"listeners":[\
      {"host":"shop.example","rules":[{"name":"r-orders","kind":"unsafe","targetLatencyMs":400,\
      "priority":0,"match":{"pathPrefix":"/orders/"},\
      "action":{"service":"%s","timeoutMs":1500,"maxAttempts":2}}]}],\
      "clusters":[{"name":"orders-0","healthPath":"/health","maxConnections":220,\
      "protocol":"h1","tls":false},{"name":"orders-1","healthPath":"/health",\
      "maxConnections":220,"protocol":"h1","tls":false}]}""";

  private static final int TRIALS = 6;
  private static final long CONFIG_MILLIS = 2_000;
  private static final int PHASE_MILLIS = 2_000;
  private static final long CHANGE_AFTER_MILLIS = 100;
  private static final long CUT_MILLIS = 5_500;
  private static final long CALM_MILLIS = 5_500;
  private static final long PERIOD_MILLIS = 40;

  private record Sent(String id, long millis) {}

  private final Record record;
  private final boolean trouble;
  private final Store store;
  private final Path folder;
  private final Map<Entry, StoreProxy> proxies = new HashMap<>();
  private final List<Entry> zone = new ArrayList<>();
  private final List<Upstream> upstreams = new ArrayList<>();
  private String seeds;
  private final Random random = new Random(28);
  private int requests;

  private CutReader(Record record, boolean trouble, Store store) throws Exception {
    this.record = record;
    this.trouble = trouble;
    this.store = store;
    this.folder = Entry.temporaryFolder();
  }

  public static void main(String[] args) throws Exception {
    int code;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store("127.0.2.1")) {
      code = new CutReader(record, !"0".equals(System.getenv("TROUBLE")), store).run();
    }
    Result.end(code);
  }

  private int run() throws Exception {
    store.put("op/config", CONFIG.formatted(7, "orders-0"));
    for (int i = 0; i < 4; i++) {
      upstreams.add(
          new Upstream(
              "i-" + i, "orders-" + i / 2, ZONE, "127.0.4." + (i + 1), 6, 4, 20, store, record));
    }
    for (int i = 1; i <= 3; i++) {
      zone.add(entry("front-" + ZONE + "-" + i, "127.0.3." + (10 + i)));
    }
    seeds =
        zone.stream()
            .map(Entry::controlAddress)
            .reduce((one, other) -> one + "," + other)
            .orElseThrow();
    for (Entry each : zone) {
      start(each, ZONE, true);
    }
    for (Entry each : proxies.keySet()) {
      if (!each.awaitReady(20_000)) {
        record.result("the entry %s does not get ready", each.name());
        return 2;
      }
    }
    Threads.sleep(8_000);
    int old = 0;
    for (int trial = 0; trial < TRIALS; trial++) {
      old += trial(trial);
    }
    record.result("CONFIG: %d requests sent too late ran at the old service", old);
    proxies.keySet().forEach(Entry::close);
    return old > 0 ? 1 : 0;
  }

  private Entry entry(String name, String address) throws Exception {
    Entry entry = new Entry(name, address, folder);
    proxies.put(entry, new StoreProxy("127.0.2.2", "127.0.2.1", store.port()));
    return entry;
  }

  private void start(Entry entry, String name, boolean first) throws Exception {
    entry.start(new Entry.Site(proxies.get(entry).address(), ZONES, seeds), name, first);
  }

  /** Returns the entry of the zone that called the store last. */
  private Entry reader() {
    return zone.stream()
        .max(Comparator.comparingLong(each -> proxies.get(each).lastCallMillis()))
        .orElseThrow();
  }

  private int trial(int trial) throws Exception {
    Entry cut = reader();
    Entry calm = zone.stream().filter(each -> each != cut).findFirst().get();
    Threads.sleep(random.nextInt(PHASE_MILLIS));
    if (trouble) {
      proxies.get(cut).cut(true);
      record.line("trial %d: %s is cut from the store", trial, cut.name());
    }
    Threads.sleep(CHANGE_AFTER_MILLIS);
    String next = "orders-" + (trial + 1) % 2;
    store.put("op/config", CONFIG.formatted(8 + 3 * trial, next));
    long acknowledged = millis();
    record.line("trial %d: the store has accepted version %d", trial, 8 + 3 * trial);
    List<Sent> sent = send(calm, acknowledged + CUT_MILLIS - 500);
    proxies.get(cut).cut(false);
    record.line("trial %d: the cut has healed", trial);
    int old = judge(trial, calm, sent, acknowledged, next);
    Threads.sleep(CALM_MILLIS);
    return old;
  }

  private int judge(int trial, Entry calm, List<Sent> sent, long acknowledged, String next) {
    int old = 0;
    long last = 0;
    for (Sent each : sent) {
      long after = each.millis() - acknowledged;
      for (int i = 0; i < upstreams.size(); i++) {
        boolean ran = upstreams.get(i).runs().containsKey(each.id());
        if (ran && !next.equals("orders-" + i / 2)) {
          last = Math.max(last, after);
          old += after > CONFIG_MILLIS ? 1 : 0;
        }
      }
    }
    record.result(
        "trial %d: at %s, which was neither stopped nor cut, the old service ran requests sent up"
            + " to %d ms after the acknowledgement",
        trial, calm.name(), last);
    return old;
  }

  private List<Sent> send(Entry entry, long until) {
    Queue<Sent> sent = new ConcurrentLinkedQueue<>();
    while (millis() < until) {
      String id = "q%05d".formatted(requests++);
      Threads.start(
          "client",
          () -> {
            sent.add(new Sent(id, millis()));
            record.line("client sends %s to %s", id, entry.name());
            Client.Answer answer = Client.send(entry, "POST", "/orders/1", id, 3_000);
            record.line("client gets %d for %s", answer.status(), id);
          });
      Threads.sleep(PERIOD_MILLIS);
    }
    return new ArrayList<>(sent);
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }
}
