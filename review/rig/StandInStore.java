import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The platform's key-value store as PROTOCOL.md describes it, as far as entries use it: reads of a
 * key, reads of a range and watches. The operator and the servers write by method calls, whose
 * return is the acknowledgement. Other calls are refused with 503 (nothing was done).
 */
final class StandInStore implements AutoCloseable {

  private static final int MAX_WAIT_MILLIS = 30_000;
  private static final long FIRST_REVISION = 100;

  private record Item(
      String key, byte[] value, long revision, long created, boolean deleted, long atNanos) {
    String json() {
      return deleted
          ? "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"
          : "{\"key\":\""
              + key
              + "\",\"value\":\""
              + Base64.getEncoder().encodeToString(value)
              + "\",\"revision\":"
              + revision
              + ",\"created\":"
              + created
              + ",\"lease\":0}";
    }
  }

  private final ServerSocket socket;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private final Set<Thread> waitingWatches = new HashSet<>();
  private final Set<Thread> silent = new HashSet<>();
  private long revision = FIRST_REVISION;
  private long staleMillis;
  private long answers;

  StandInStore(String address) throws IOException {
    socket = new ServerSocket(0, 200, InetAddress.getByName(address));
    Threads.start("store", this::accept);
  }

  String address() {
    return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
  }

  /** Has reads with staleOk tell the state of some time ago. */
  synchronized void setStaleMillis(long millis) {
    staleMillis = millis;
  }

  /**
   * Has the answers of the watches that wait now be lost. Nothing more is sent on a connection on
   * which an answer was lost; other connections work.
   *
   * @return how many answers will be lost
   */
  synchronized int loseWaitingAnswers() {
    silent.addAll(waitingWatches);
    return waitingWatches.size();
  }

  /** Returns how many answers were given since the start. */
  synchronized long answers() {
    return answers;
  }

  synchronized long put(String key, String value) {
    revision++;
    Item before = items.get(key);
    Item item =
        new Item(
            key,
            value.getBytes(StandardCharsets.UTF_8),
            revision,
            before == null ? revision : before.created(),
            false,
            System.nanoTime());
    items.put(key, item);
    history.add(item);
    notifyAll();
    return revision;
  }

  synchronized long delete(String key) {
    revision++;
    items.remove(key);
    history.add(new Item(key, new byte[0], revision, 0, true, System.nanoTime()));
    notifyAll();
    return revision;
  }

  private void accept() throws IOException {
    while (!socket.isClosed()) {
      Socket connection = socket.accept();
      Threads.start("store-connection", () -> serve(connection));
    }
  }

  private void serve(Socket connection) throws IOException {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = Http.buffered(connection.getInputStream());
      Http.Head head = Http.readHead(in);
      while (head != null) {
        Http.readBody(in, head);
        byte[] answer = answer(head.word(0), head.word(1));
        if (!mayAnswer()) {
          awaitEnd(in);
          return;
        }
        connection.getOutputStream().write(answer);
        head = Http.readHead(in);
      }
    }
  }

  private synchronized boolean mayAnswer() {
    boolean lost = silent.contains(Thread.currentThread());
    answers += lost ? 0 : 1;
    return !lost;
  }

  private static void awaitEnd(InputStream in) throws IOException {
    while (in.read() >= 0) {
      // What arrives after a lost answer gets none.
    }
  }

  private byte[] answer(String method, String target) {
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
    if (method.equals("GET") && path.equals("/kv-key")) {
      return key(query.get("key"));
    }
    if (method.equals("GET") && path.equals("/kv-range")) {
      boolean stale = "1".equals(query.get("staleOk"));
      return range(query.getOrDefault("pathPrefix", ""), query.getOrDefault("after", ""), stale);
    }
    if (method.equals("GET") && path.equals("/kv-watch")) {
      return watch(
          query.getOrDefault("pathPrefix", ""),
          Long.parseLong(query.get("after")),
          Long.parseLong(query.getOrDefault("waitMs", "0")));
    }
    return json(503, "{}");
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private static byte[] json(int status, String body) {
    return Http.answer(
        status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
  }

  private synchronized byte[] key(String key) {
    Item item = items.get(key);
    if (item == null) {
      return json(404, "{\"asOf\":" + revision + "}");
    }
    String text = item.json();
    return json(200, text.substring(0, text.length() - 1) + ",\"asOf\":" + revision + "}");
  }

  private synchronized byte[] range(String prefix, String after, boolean stale) {
    long latestNanos = System.nanoTime() - (stale ? staleMillis * 1_000_000 : 0);
    TreeMap<String, Item> state = new TreeMap<>();
    long asOf = FIRST_REVISION;
    for (Item item : history) {
      if (item.atNanos() - latestNanos > 0) {
        break;
      }
      asOf = item.revision();
      state.remove(item.key());
      if (!item.deleted()) {
        state.put(item.key(), item);
      }
    }
    List<String> found = new ArrayList<>();
    for (Item item : state.tailMap(after, false).values()) {
      if (item.key().startsWith(prefix)) {
        found.add(item.json());
      }
    }
    return json(
        200, "{\"items\":[" + String.join(",", found) + "],\"truncated\":false,\"asOf\":" + asOf + "}");
  }

  private synchronized byte[] watch(String prefix, long after, long waitMillis) {
    long end = System.nanoTime() + Math.min(waitMillis, MAX_WAIT_MILLIS) * 1_000_000;
    while (true) {
      List<String> events = new ArrayList<>();
      for (Item item : history) {
        if (item.revision() > after && item.key().startsWith(prefix)) {
          events.add(item.json());
        }
      }
      long leftMillis = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || leftMillis <= 0 || socket.isClosed()) {
        return json(
            200, "{\"events\":[" + String.join(",", events) + "],\"asOf\":" + revision + "}");
      }
      try {
        waitingWatches.add(Thread.currentThread());
        wait(leftMillis);
        waitingWatches.remove(Thread.currentThread());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return json(503, "{}");
      }
    }
  }

  @Override
  public synchronized void close() throws IOException {
    socket.close();
    notifyAll();
  }
}
