package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Another writer leaves an entry under {@code servers/} whose field {@code slots} is no count. Later
 * a server reports that it drains, the configuration moves the route to another service, and all
 * entries are killed and started again.
 */
public final class ForeignRegistration {

  private static final Map<String, String> ZONES =
      new TreeMap<>(Map.of("kuopio-a", "savo", "vaasa-a", "pohjanmaa"));
  private static final String CONFIG =
      """
      {"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,\
      "headerTimeoutMs":3000,"idleTimeoutMs":15000},"baseVersion":5,"listeners":[\
      {"host":"shop.example","rules":[{"name":"r-orders","kind":"unsafe","targetLatencyMs":400,\
      "priority":0,"match":{"pathPrefix":"/orders/"},\
      "action":{"service":"%s","timeoutMs":1500,"maxAttempts":2}}]}],\
      "clusters":[{"name":"orders","healthPath":"/health","maxConnections":220,"protocol":"h1",\
      "tls":false},{"name":"orders-2","healthPath":"/health","maxConnections":220,\
      "protocol":"h1","tls":false}]}""";
  private static final String FOREIGN =
      """
      {"service":"orders","address":"127.0.4.9:8080","zone":"kuopio-a","version":"v1",\
      "slots":10000000000,"state":"ready","slowStartMs":0,"sequence":1,"born":1700000000000}""";

  private static final long DRAIN_MILLIS = 2_000;
  private static final long CONFIG_MILLIS = 2_000;
  private static final long CALM_MILLIS = 5_000;
  private static final long TRAFFIC_MILLIS = 5_000;
  private static final long PERIOD_MILLIS = 40;
  private static final long RECOVERY_MILLIS = 15_000;

  /** A request of a client: when it was sent, by the steady clock in milliseconds. */
  private record Sent(String id, long millis) {}

  private final Record record;
  private final List<Entry> entries = new ArrayList<>();
  private final List<Upstream> upstreams = new ArrayList<>();
  private final Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
  private int requests;

  private ForeignRegistration(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store("127.0.2.1")) {
      code = new ForeignRegistration(record).run(trouble, store);
    }
    Result.end(code);
  }

  private int run(boolean trouble, Store store) throws Exception {
    store.put("op/config", CONFIG.formatted(7, "orders"));
    for (int i = 1; i <= 4; i++) {
      String service = i <= 2 ? "orders" : "orders-2";
      upstreams.add(
          new Upstream(
              "i-" + i, service, "kuopio-a", "127.0.4." + i, 6, 4, 20, store, record));
    }
    Path folder = Entry.temporaryFolder();
    for (int i = 1; i <= 3; i++) {
      entries.add(new Entry("front-" + i, "127.0.3." + i, folder));
    }
    String seeds = entries.get(0).controlAddress() + "," + entries.get(1).controlAddress();
    Entry.Site site = new Entry.Site("127.0.2.1:" + store.port(), ZONES, seeds);
    for (int i = 0; i < 3; i++) {
      entries.get(i).start(site, i < 2 ? "kuopio-a" : "vaasa-a", true);
    }
    for (Entry entry : entries) {
      if (!entry.awaitReady(20_000)) {
        record.result("the entry %s does not get ready", entry.name());
        return 2;
      }
    }
    Threads.sleep(CALM_MILLIS);
    if (trouble) {
      store.put("servers/i-other", FOREIGN);
      record.line("another writer puts servers/i-other: %s", FOREIGN);
    }
    Threads.sleep(CALM_MILLIS);
    int late = drain();
    int old = reconfigure(store);
    int ready = restart(site);
    record.result(
        "DRAIN: %d requests reached i-1 later than %d ms after its report was acknowledged",
        late, DRAIN_MILLIS);
    record.result(
        "CONFIG: %d requests sent later than %d ms after the acknowledgement ran at the old service",
        old, CONFIG_MILLIS);
    record.result(
        "%d of %d entries are ready %d s after all were killed and started again",
        ready, entries.size(), RECOVERY_MILLIS / 1_000);
    entries.forEach(Entry::close);
    return old > 0 || late > 0 ? 1 : 0;
  }

  private int drain() {
    upstreams.get(0).state("draining");
    long acknowledged = millis();
    record.line("the store has accepted that i-1 is draining");
    send(TRAFFIC_MILLIS);
    int late = 0;
    for (long arrival : upstreams.get(0).arrivals()) {
      late += arrival > acknowledged + DRAIN_MILLIS ? 1 : 0;
    }
    return late;
  }

  private int reconfigure(Store store) {
    store.put("op/config", CONFIG.formatted(9, "orders-2"));
    long acknowledged = millis();
    record.line("the store has accepted version 9, which moves the route to orders-2");
    int old = 0;
    for (Sent sent : send(TRAFFIC_MILLIS)) {
      boolean ranAtOld =
          upstreams.get(0).runs().containsKey(sent.id())
              || upstreams.get(1).runs().containsKey(sent.id());
      old += ranAtOld && sent.millis() > acknowledged + CONFIG_MILLIS ? 1 : 0;
    }
    return old;
  }

  /** Kills all entries, starts them again, and returns how many are ready in time. */
  private int restart(Entry.Site site) throws Exception {
    record.line("all entries are killed and started again");
    entries.forEach(Entry::close);
    for (int i = 0; i < 3; i++) {
      entries.get(i).start(site, i < 2 ? "kuopio-a" : "vaasa-a", false);
    }
    long end = millis() + RECOVERY_MILLIS;
    int ready = 0;
    for (Entry entry : entries) {
      ready += entry.awaitReady(Math.max(1, end - millis())) ? 1 : 0;
    }
    return ready;
  }

  /** Sends requests to all entries in turn, and waits for the answers. */
  private List<Sent> send(long millis) {
    Queue<Sent> all = new ConcurrentLinkedQueue<>();
    List<Thread> clients = new ArrayList<>();
    long end = millis() + millis;
    while (millis() < end) {
      String id = "q%05d".formatted(requests);
      Entry entry = entries.get(requests % entries.size());
      requests++;
      clients.add(
          Threads.start(
              "client",
              () -> {
                all.add(new Sent(id, millis()));
                record.line("client sends %s to %s", id, entry.name());
                Client.Answer answer = Client.send(entry, "POST", "/orders/1", id, 3_000);
                record.line("client gets %d for %s", answer.status(), id);
                answers.put(id, answer);
              }));
      Threads.sleep(PERIOD_MILLIS);
    }
    for (Thread client : clients) {
      try {
        client.join(4_000);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return new ArrayList<>(all);
  }

  private static long millis() {
    return System.nanoTime() / 1_000_000;
  }
}
