package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * An upstream as the protocol page describes it: slots, a short queue, rejections that say that the
 * request was not run, echoed identifiers, load reports, and a registration that it renews.
 */
final class Upstream implements AutoCloseable {

  static final long HEARTBEAT_MILLIS = 1_500;

  /** What a server does beside its work; a sound one does nothing of it. */
  interface Behaviour {

    /** Returns whether this request is shed although there is room. */
    default boolean sheds() {
      return false;
    }

    /** Returns whether this answer is sent once more, where the next answer is due. */
    default boolean repeatsLate() {
      return false;
    }
  }

  private final String id;
  private final String service;
  private final String zone;
  private final int slots;
  private final int queue;
  private final long workMillis;
  private final Store store;
  private final Record record;
  private final ServerSocket listener;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final long born = System.currentTimeMillis();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicLong sequence = new AtomicLong();
  private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
  private final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();
  private volatile String state = "ready";
  private String written = "";
  private volatile boolean registered = true;
  private volatile Behaviour behaviour = new Behaviour() {};

  Upstream(
      String id,
      String service,
      String zone,
      String address,
      int slots,
      int queue,
      long workMillis,
      Store store,
      Record record)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.queue = queue;
    this.workMillis = workMillis;
    this.store = store;
    this.record = record;
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 256);
    Threads.start("upstream-" + id, this::accept);
    Threads.start("heartbeat-" + id, this::beat);
  }

  void behave(Behaviour next) {
    behaviour = next;
  }

  /** Returns how often each request was run here. */
  Map<String, AtomicInteger> runs() {
    return runs;
  }

  /** Returns when requests arrived that were run, by the steady clock in milliseconds. */
  Queue<Long> arrivals() {
    return arrivals;
  }

  String id() {
    return id;
  }

  void state(String next) {
    state = next;
    register();
  }

  void unregister() {
    registered = false;
    store.remove("servers/" + id);
  }

  private void beat() {
    while (!listener.isClosed()) {
      register();
      Threads.sleep(HEARTBEAT_MILLIS);
    }
  }

  /** The entry in the store changes only when more than its sequence changes. */
  private synchronized void register() {
    sequence.incrementAndGet();
    if (!registered || written.equals(state)) {
      return;
    }
    written = state;
    store.put(
        "servers/" + id,
        "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                .formatted(
                    service,
                    listener.getInetAddress().getHostAddress(),
                    listener.getLocalPort(),
                    zone,
                    slots)
            + "\"state\":\"%s\",\"slowStartMs\":0,\"sequence\":%d,\"born\":%d}"
                .formatted(state, sequence.get(), born));
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        sockets.add(socket);
        Threads.start("connection-" + id, () -> serve(socket));
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      String late = "";
      while (true) {
        Http.Message request = Http.read(in);
        if (!late.isEmpty()) {
          record.line("upstream %s sends its earlier answer once more: %s", id, firstLine(late));
          write(socket, late);
          late = "";
        }
        String answer = answer(request);
        write(socket, answer);
        if (!request.path().equals("/health") && behaviour.repeatsLate()) {
          late = answer;
        }
      }
    } catch (IOException e) {
      // The entry has closed the connection.
    }
  }

  private static String firstLine(String answer) {
    int idAt = answer.indexOf("Wagtailpin-Request-Id: ");
    return answer.substring(0, answer.indexOf('\r'))
        + " of "
        + answer.substring(idAt + 23, answer.indexOf('\r', idAt));
  }

  private static void write(Socket socket, String answer) throws IOException {
    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
  }

  private String answer(Http.Message request) {
    if (request.path().equals("/health")) {
      return "HTTP/1.1 200 OK\r\nWagtailpin-Instance-Id: "
          + id
          + "\r\n"
          + load()
          + "Content-Length: 0\r\n\r\n";
    }
    String requestId = request.header("wagtailpin-request-id");
    String target = request.header("wagtailpin-target-instance");
    if (!target.isEmpty() && !target.equals(id)) {
      record.line("upstream %s rejects %s: another instance", id, requestId);
      return rejection("421 Misdirected Request", requestId);
    }
    if (behaviour.sheds() || !enter()) {
      record.line("upstream %s rejects %s: not executed", id, requestId);
      return rejection("503 Service Unavailable", requestId);
    }
    arrivals.add(System.nanoTime() / 1_000_000);
    runs.computeIfAbsent(requestId, key -> new AtomicInteger()).incrementAndGet();
    record.line("upstream %s runs %s", id, requestId);
    Threads.sleep(workMillis);
    leave();
    String body = "done " + requestId;
    return "HTTP/1.1 200 OK\r\nWagtailpin-Request-Id: "
        + requestId
        + "\r\nWagtailpin-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
        + load()
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String load() {
    return "Wagtailpin-Server-Load: %d,%d,%d,100\r\n".formatted(running.get(), waiting.get(), slots);
  }

  private String rejection(String status, String requestId) {
    return "HTTP/1.1 "
        + status
        + "\r\nWagtailpin-Request-Id: "
        + requestId
        + "\r\nWagtailpin-Not-Executed: 1\r\n"
        + load()
        + "Content-Length: 0\r\n\r\n";
  }

  private synchronized boolean enter() {
    if (running.get() >= slots && waiting.get() >= queue) {
      return false;
    }
    waiting.incrementAndGet();
    try {
      while (running.get() >= slots) {
        wait();
      }
    } catch (InterruptedException e) {
      return false;
    } finally {
      waiting.decrementAndGet();
    }
    running.incrementAndGet();
    return true;
  }

  private synchronized void leave() {
    running.decrementAndGet();
    notifyAll();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
