package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two entries before two upstreams. In windows of 5 s both upstreams shed part of the requests, and
 * one of them sends some of its answers once more, where the next answer is due.
 */
public final class LateRejection {

  private static final String ZONE = "kuopio-a";
  private static final String CONFIG =
      """
      {"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,\
      "idleTimeoutMs":15000},"baseVersion":5,"listeners":[{"host":"shop.example","rules":[\
      {"name":"r-orders","kind":"unsafe","targetLatencyMs":400,"priority":0,\
      "match":{"pathPrefix":"/orders/"},\
      "action":{"service":"orders","timeoutMs":1500,"maxAttempts":3}}]}],\
      "clusters":[{"name":"orders","healthPath":"/health","maxConnections":220,"protocol":"h1",\
      "tls":false}]}""";

  private static final double SHED_SHARE = 0.55;
  private static final double LATE_SHARE = 0.03;
  private static final int WINDOWS = 8;
  private static final int ENTRIES = 2;
  private static final int WORK_MILLIS = 10;
  private static final int SLOTS = 6;
  private static final long WINDOW_MILLIS = 5_000;
  private static final long PAUSE_MILLIS = 3_000;
  private static final int REQUESTS_PER_SECOND = 600;

  private LateRejection() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Entry.temporaryFolder();
    int code;
    try (Record record = new Record(Path.of(args[0]));
        Store store = new Store("127.0.2.1")) {
      store.put("op/config", CONFIG);
      List<Upstream> upstreams = new ArrayList<>();
      for (int i = 1; i <= 2; i++) {
        upstreams.add(
            new Upstream(
                "i-" + i, "orders", ZONE, "127.0.4." + i, SLOTS, 4, WORK_MILLIS, store, record));
      }
      List<Entry> entries = new ArrayList<>();
      for (int i = 1; i <= ENTRIES; i++) {
        entries.add(new Entry("front-" + i, "127.0.3." + i, folder));
      }
      String seeds = entries.get(0).controlAddress();
      for (Entry entry : entries) {
        entry.start(
            new Entry.Site("127.0.2.1:" + store.port(), Map.of(ZONE, "savo"), seeds), ZONE, true);
      }
      for (Entry entry : entries) {
        if (!entry.awaitReady(20_000)) {
          record.result("the entry %s does not get ready", entry.name());
          Result.end(2);
        }
      }
      Threads.sleep(2_000);
      code = run(trouble, entries, upstreams, record);
    }
    Result.end(code);
  }

  private static int run(boolean trouble, List<Entry> entries, List<Upstream> upstreams, Record record)
      throws InterruptedException {
    Random random = new Random(28);
    boolean[] faulty = {false};
    for (Upstream upstream : upstreams) {
      boolean repeats = upstream == upstreams.get(0);
      upstream.behave(
          new Upstream.Behaviour() {
            @Override
            public boolean sheds() {
              return faulty[0] && trouble && random.nextDouble() < SHED_SHARE;
            }

            @Override
            public boolean repeatsLate() {
              return faulty[0] && trouble && repeats && random.nextDouble() < LATE_SHARE;
            }
          });
    }
    Map<String, Client.Answer> answers = new ConcurrentHashMap<>();
    int sent = 0;
    CountDownLatch done = new CountDownLatch(
        (int) (WINDOWS * (WINDOW_MILLIS + PAUSE_MILLIS) / 1_000) * REQUESTS_PER_SECOND);
    for (int window = 0; window < WINDOWS; window++) {
      faulty[0] = true;
      record.line(trouble ? "both upstreams shed, and i-1 sends answers once more" : "all upstreams are sound");
      sent = send(entries, WINDOW_MILLIS, sent, answers, done, record);
      faulty[0] = false;
      record.line("all upstreams are sound");
      sent = send(entries, PAUSE_MILLIS, sent, answers, done, record);
    }
    done.await(20, TimeUnit.SECONDS);
    Threads.sleep(500);
    return judge(answers, upstreams, record);
  }

  private static int send(
      List<Entry> entries,
      long millis,
      int before,
      Map<String, Client.Answer> answers,
      CountDownLatch done,
      Record record) {
    int count = (int) (millis * REQUESTS_PER_SECOND / 1_000);
    long start = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long due = start + i * 1_000_000_000L / REQUESTS_PER_SECOND;
      Threads.sleep(Math.max(0, (due - System.nanoTime()) / 1_000_000));
      Entry entry = entries.get((before + i) % entries.size());
      String id = "q%06d".formatted(before + i);
      Threads.start(
          "client",
          () -> {
            record.line("client sends %s", id);
            Client.Answer answer = Client.send(entry, "POST", "/orders/1", id, 3_000);
            record.line("client gets %d for %s", answer.status(), id);
            answers.put(id, answer);
            done.countDown();
          });
    }
    return before + count;
  }

  private static int judge(
      Map<String, Client.Answer> answers, List<Upstream> upstreams, Record record) {
    int refused = 0;
    int twice = 0;
    int ok = 0;
    for (Map.Entry<String, Client.Answer> answer : answers.entrySet()) {
      int status = answer.getValue().status();
      int runs = 0;
      for (Upstream upstream : upstreams) {
        AtomicInteger count = upstream.runs().get(answer.getKey());
        runs += count == null ? 0 : count.get();
      }
      ok += status == 200 ? 1 : 0;
      if (runs > 0 && (status == 503 || status == 429 || status == 408 || status == 421)) {
        refused++;
        record.result("REFUSED: %s got %d and ran", answer.getKey(), status);
      }
      if (runs > 1) {
        twice++;
        record.result("TWICE: %s ran %d times, answer %d", answer.getKey(), runs, status);
      }
    }
    record.result(
        "%d requests, %d answered 200, %d refused although they ran, %d ran twice",
        answers.size(), ok, refused, twice);
    return refused + twice > 0 ? 1 : 0;
  }
}
