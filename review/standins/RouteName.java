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
 * A version moves a route to another service and adds a route whose name has a letter beyond ASCII.
 */
public final class RouteName {

  private static final Map<String, String> ZONES =
      new TreeMap<>(Map.of("kuopio-a", "savo", "vaasa-a", "pohjanmaa"));
  private static final String CONFIG =
      """
      {"version":%d,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,\
      "headerTimeoutMs":3000,"idleTimeoutMs":15000},"baseVersion":5,"listeners":[\
      {"host":"shop.example","rules":[{"name":"r-orders","kind":"unsafe","targetLatencyMs":400,\
      "priority":0,"match":{"pathPrefix":"/orders/"},\
      "action":{"service":"%s","timeoutMs":1500,"maxAttempts":2}}%s]}],\
      "clusters":[{"name":"orders","healthPath":"/health","maxConnections":220,"protocol":"h1",\
      "tls":false},{"name":"orders-2","healthPath":"/health","maxConnections":220,\
      "protocol":"h1","tls":false}]}""";
  private static final String ADDED_ROUTE =
      """
      ,{"name":"%s","kind":"safe","targetLatencyMs":600,"priority":2,\
      "match":{"pathPrefix":"/members/"},\
      "action":{"service":"orders-2","timeoutMs":2000,"maxAttempts":2}}""";
  private static final String NAME = "r-j\u00e4senet";
  private static final String PLAIN_NAME = "r-jasenet";

  private static final long CONFIG_MILLIS = 2_000;
  private static final long CALM_MILLIS = 5_000;
  private static final long TRAFFIC_MILLIS = 5_000;
  private static final long PERIOD_MILLIS = 40;

  /** A request of a client: when it was sent, by the steady clock in milliseconds. */
  private record Sent(String id, long millis) {}

  private final Record record;
  private final List<Entry> entries = new ArrayList<>();
  private final List<Upstream> upstreams = new ArrayList<>();
  private final Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
  private int requests;

  private RouteName(Record record) {
    this.record = record;
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store("127.0.2.1")) {
      code = new RouteName(record).run(trouble, store);
    }
    Result.end(code);
  }

  private int run(boolean trouble, Store store) throws Exception {
    store.put("op/config", CONFIG.formatted(7, "orders", ""));
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
    int old = reconfigure(store, trouble ? NAME : PLAIN_NAME);
    record.result(
        "CONFIG: %d requests sent later than %d ms after the acknowledgement ran at the old service",
        old, CONFIG_MILLIS);
    entries.forEach(Entry::close);
    return old > 0 ? 1 : 0;
  }

  private int reconfigure(Store store, String name) {
    store.put("op/config", CONFIG.formatted(9, "orders-2", ADDED_ROUTE.formatted(name)));
    long acknowledged = millis();
    record.line("the store has accepted version 9, which moves the route and adds %s", name);
    int old = 0;
    for (Sent sent : send(TRAFFIC_MILLIS)) {
      boolean ranAtOld =
          upstreams.get(0).runs().containsKey(sent.id())
              || upstreams.get(1).runs().containsKey(sent.id());
      old += ranAtOld && sent.millis() > acknowledged + CONFIG_MILLIS ? 1 : 0;
    }
    return old;
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
