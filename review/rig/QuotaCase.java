import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * All entries lose power. Those that come back get seeds that are down, and each then holds the
 * quota of its zone by itself.
 */
final class QuotaCase {

  private static final int ZONES = 3;
  private static final int ENTRIES_PER_ZONE = 4;
  private static final int RATE_PER_S = 30;
  private static final int BURST = 30;
  private static final double WINDOW_S = 5;
  private static final double BOUND = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20;
  private static final int LOAD_PER_S = 150;
  private static final int LOAD_S = 14;
  private static final int WORK_MILLIS = 20;

  private record Sent(String id, double atMillis) {}

  private QuotaCase() {}

  public static void main(String[] args) {
    Case.run(args, ZONES, ENTRIES_PER_ZONE, QuotaCase::run);
  }

  private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
    ConcurrentHashMap<String, Double> runs = new ConcurrentHashMap<>();
    startServers(record, fleet, runs);
    fleet.store().put("op/config", config());
    for (EntryProcess entry : fleet.entries()) {
      entry.start();
    }
    if (!Fleet.awaitReady(fleet.entries(), 30_000)) {
      record.say("the entries did not become ready");
      return Case.NOT_RUN;
    }
    Threads.sleep(4_000);
    record.say("all entries lose power");
    fleet.entries().forEach(EntryProcess::kill);
    Threads.sleep(1_000);
    List<EntryProcess> back = new ArrayList<>();
    for (int i = 0; i < fleet.entries().size(); i++) {
      boolean seed = i % ENTRIES_PER_ZONE == 0;
      if (!trouble || !seed) {
        back.add(fleet.entries().get(i));
      }
    }
    for (EntryProcess entry : back) {
      entry.setValue("bootstrap", "false");
      entry.start();
    }
    record.say(back.size() + " of " + fleet.entries().size() + " entries start again");
    if (!Fleet.awaitReady(back, 30_000)) {
      record.say("the entries did not become ready again");
      return Case.NOT_RUN;
    }
    Threads.sleep(4_000);
    List<Sent> sent = load(record, back);
    return judge(record, sent, runs);
  }

  private static void startServers(
      Record record, Fleet fleet, ConcurrentHashMap<String, Double> runs) throws IOException {
    for (int zone = 0; zone < ZONES; zone++) {
      for (int i = 0; i < 2; i++) {
        String id = "i-" + zone + i;
        StandInServer server =
            new StandInServer(
                id,
                "127.0.8." + (1 + zone),
                12,
                request -> {
                  runs.put(request.id(), record.millis());
                  record.line(
                      id
                          + " runs "
                          + request.id()
                          + " of "
                          + request.head().header("wagtailpin-tenant"));
                  return (long) WORK_MILLIS;
                });
        fleet
            .store()
            .put(
                "servers/" + id,
                server.registration("svc", "zone-" + zone, "ready", 1, System.currentTimeMillis()));
      }
    }
  }

  private static String config() {
    return "{\"version\":7,\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"key-of-acme\"],\"priority\":1,"
        + "\"ratePerS\":"
        + RATE_PER_S
        + ",\"burst\":"
        + BURST
        + ",\"allowedRegions\":[]}],\"baseVersion\":5,"
        + "\"listeners\":[{\"host\":\"shop.example\",\"rules\":[{\"name\":\"r-1\","
        + "\"kind\":\"unsafe\",\"targetLatencyMs\":500,\"priority\":1,\"public\":false,"
        + "\"match\":{\"pathPrefix\":\"/buy/\"},\"action\":{\"service\":\"svc\","
        + "\"timeoutMs\":2000,\"maxAttempts\":2,\"allowedRegions\":[]}}]}],"
        + "\"clusters\":[{\"name\":\"svc\",\"healthPath\":\"/health\",\"maxConnections\":1020,"
        + "\"protocol\":\"h1\",\"tls\":false}]}";
  }

  /** Sends requests of the tenant at a constant rate, each to an entry that is chosen at random. */
  private static List<Sent> load(Record record, List<EntryProcess> entries) throws Exception {
    record.say("the tenant sends " + LOAD_PER_S + " requests a second");
    Random random = new Random(1);
    List<Sent> sent = new ArrayList<>();
    ExecutorService callers = Executors.newFixedThreadPool(100);
    double start = record.millis();
    for (int i = 0; i < LOAD_PER_S * LOAD_S; i++) {
      Threads.sleep((long) (start + 1_000.0 * i / LOAD_PER_S - record.millis()));
      String id = "q" + i;
      EntryProcess entry = entries.get(random.nextInt(entries.size()));
      sent.add(new Sent(id, record.millis()));
      record.line("a caller sends " + id + " to " + entry.name());
      callers.execute(
          () -> {
            int status = Caller.call(entry, head(id), new byte[0], 4_000);
            record.line(entry.name() + " answers " + id + " with " + status);
          });
    }
    callers.shutdown();
    callers.awaitTermination(5, TimeUnit.SECONDS);
    return sent;
  }

  private static String head(String id) {
    return "POST /buy/1 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: key-of-acme\r\n"
        + "Wagtailpin-Request-Id: "
        + id
        + "\r\nWagtailpin-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
  }

  /** Finds the window in which most requests were both sent and run. */
  private static int judge(
      Record record, List<Sent> sent, ConcurrentHashMap<String, Double> runs) {
    int most = 0;
    double mostFrom = 0;
    for (Sent first : sent) {
      double end = first.atMillis() + WINDOW_S * 1_000;
      int count = 0;
      for (Sent request : sent) {
        Double run = runs.get(request.id());
        if (request.atMillis() >= first.atMillis() && run != null && run <= end) {
          count++;
        }
      }
      if (count > most) {
        most = count;
        mostFrom = first.atMillis();
      }
    }
    record.say(
        String.format(
            "sent %d, run %d; most in a window of %.0f s: %d, from %.0f ms on; the rule allows %.0f",
            sent.size(), runs.size(), WINDOW_S, most, mostFrom, BOUND));
    return runs.isEmpty() ? Case.NOT_RUN : most > BOUND ? Case.BROKEN : Case.HELD;
  }
}
