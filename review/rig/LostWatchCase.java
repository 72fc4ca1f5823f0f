import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The store loses the answer to a watch that tells of a new configuration, which moves a route to
 * another service. When the store has been stable again for the stable window, entries still send
 * requests of the route to the old service, as they take a stale read for the present revision.
 */
final class LostWatchCase {

  private static final int ZONES = 1;
  private static final int ENTRIES_PER_ZONE = 3;
  private static final long CONFIG_MILLIS = 2_000;
  private static final long STABLE_WINDOW_MILLIS = 3_000;

  /** How long the store loses answers; a site file names 4.5 s. */
  private static final long LOSING_MILLIS = 4_500;

  /** When the configuration changes, before the store ceases to lose answers. */
  private static final long CHANGE_BEFORE_END_MILLIS = 100;

  private static final long STALE_MILLIS = 3_000;
  private static final long LOAD_MILLIS = 8_000;
  private static final long PERIOD_MILLIS = 10;
  private static final int WORK_MILLIS = 10;

  private record Run(String service, double atMillis) {}

  private record Sent(String id, String entry, double atMillis) {}

  private LostWatchCase() {}

  /** Arguments: the file of the record, and 1 with the disruption, 0 without it. */
  public static void main(String[] args) {
    Case.run(args, ZONES, ENTRIES_PER_ZONE, LostWatchCase::run);
  }

  private static int run(Record record, Fleet fleet, boolean trouble) throws Exception {
    ConcurrentHashMap<String, Run> runs = new ConcurrentHashMap<>();
    startServers(record, fleet, runs, "old");
    startServers(record, fleet, runs, "new");
    fleet.store().setStaleMillis(STALE_MILLIS);
    fleet.store().put("op/config", config(7, "old"));
    for (EntryProcess entry : fleet.entries()) {
      entry.start();
    }
    if (!Fleet.awaitReady(fleet.entries(), 30_000)) {
      record.say("the entries did not become ready");
      return Case.NOT_RUN;
    }
    Threads.sleep(6_000);
    long answersBefore = fleet.store().answers();
    Threads.sleep(LOSING_MILLIS - CHANGE_BEFORE_END_MILLIS);
    int lost = trouble ? fleet.store().loseWaitingAnswers() : 0;
    fleet.store().put("op/config", config(9, "new"));
    double ackMillis = record.millis();
    record.say("the store acknowledges version 9, which moves the route to the service new");
    Threads.sleep(CHANGE_BEFORE_END_MILLIS);
    double endMillis = record.millis();
    record.say(
        "answers of the store in "
            + LOSING_MILLIS
            + " ms: "
            + (fleet.store().answers() - answersBefore)
            + " given, "
            + lost
            + " lost; from now on the store loses none");
    List<Sent> sent = load(record, fleet.entries());
    double boundMillis =
        Math.max(ackMillis + CONFIG_MILLIS, endMillis + STABLE_WINDOW_MILLIS);
    return judge(record, sent, runs, boundMillis);
  }

  private static void startServers(
      Record record, Fleet fleet, ConcurrentHashMap<String, Run> runs, String service)
      throws IOException {
    for (int zone = 0; zone < ZONES; zone++) {
      String id = "i-" + service + zone;
      StandInServer server =
          new StandInServer(
              id,
              "127.0.8." + (1 + zone),
              12,
              request -> {
                runs.put(request.id(), new Run(service, record.millis()));
                record.line(id + " of " + service + " runs " + request.id());
                return (long) WORK_MILLIS;
              });
      long born = System.currentTimeMillis();
      fleet
          .store()
          .put(
              "servers/" + id, server.registration(service, "zone-" + zone, "ready", 1, born));
    }
  }

  private static String config(int version, String service) {
    return "{\"version\":"
        + version
        + ",\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"baseVersion\":5,"
        + "\"listeners\":[{\"host\":\"shop.example\",\"rules\":[{\"name\":\"r-1\","
        + "\"kind\":\"unsafe\",\"targetLatencyMs\":500,\"priority\":1,"
        + "\"match\":{\"pathPrefix\":\"/buy/\"},\"action\":{\"service\":\""
        + service
        + "\",\"timeoutMs\":2000,\"maxAttempts\":2}}]}],"
        + "\"clusters\":["
        + cluster("old")
        + ","
        + cluster("new")
        + "]}";
  }

  private static String cluster(String name) {
    return "{\"name\":\""
        + name
        + "\",\"healthPath\":\"/health\",\"maxConnections\":240,\"protocol\":\"h1\",\"tls\":false}";
  }

  private static List<Sent> load(Record record, List<EntryProcess> entries) throws Exception {
    List<Sent> sent = new ArrayList<>();
    ExecutorService callers = Executors.newFixedThreadPool(50);
    double start = record.millis();
    for (int i = 0; i * PERIOD_MILLIS < LOAD_MILLIS; i++) {
      Threads.sleep((long) (start + i * PERIOD_MILLIS - record.millis()));
      String id = "q" + i;
      EntryProcess entry = entries.get(i % entries.size());
      sent.add(new Sent(id, entry.name(), record.millis()));
      record.line("a caller sends " + id + " to " + entry.name());
      callers.execute(
          () -> {
            int status = Caller.call(entry, head(id), new byte[0], 3_000);
            record.line(entry.name() + " answers " + id + " with " + status);
          });
    }
    callers.shutdown();
    callers.awaitTermination(5, TimeUnit.SECONDS);
    return sent;
  }

  private static String head(String id) {
    return "POST /buy/1 HTTP/1.1\r\nHost: shop.example\r\nWagtailpin-Request-Id: "
        + id
        + "\r\nWagtailpin-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n";
  }

  private static int judge(
      Record record, List<Sent> sent, ConcurrentHashMap<String, Run> runs, double boundMillis) {
    int stale = 0;
    double latest = Double.NEGATIVE_INFINITY;
    for (Sent request : sent) {
      Run run = runs.get(request.id());
      if (run != null && run.service().equals("old")) {
        latest = Math.max(latest, request.atMillis() - boundMillis);
        stale += request.atMillis() > boundMillis ? 1 : 0;
      }
    }
    record.say(
        String.format(
            "sent %d, run %d; sent after the bound (at %.0f ms) and run by the old service: %d;"
                + " the last one of the old service was sent %.0f ms after the bound",
            sent.size(), runs.size(), boundMillis, stale, latest));
    return runs.isEmpty() ? Case.NOT_RUN : stale > 0 ? Case.BROKEN : Case.HELD;
  }
}
