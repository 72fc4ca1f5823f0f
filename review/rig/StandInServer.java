import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/** A backend server (upstream) as PROTOCOL.md describes it, with slots but without a queue. */
class StandInServer implements AutoCloseable {

  /** A request as the server received it. */
  record Request(Http.Head head, byte[] body) {
    String id() {
      return head.header("wagtailpin-request-id");
    }
  }

  private final String id;
  private final int slots;
  private final ServerSocket socket;
  private final Function<Request, Long> workMillis;
  private final AtomicInteger running = new AtomicInteger();

  /**
   * Starts a server.
   *
   * @param id its identifier
   * @param address the address to listen on
   * @param slots how many requests it runs at once
   * @param workMillis called when it begins to run a request; returns how long it runs
   */
  StandInServer(String id, String address, int slots, Function<Request, Long> workMillis)
      throws IOException {
    this.id = id;
    this.slots = slots;
    this.workMillis = workMillis;
    this.socket = new ServerSocket(0, 200, InetAddress.getByName(address));
    Threads.start("server-" + id, this::accept);
  }

  String id() {
    return id;
  }

  String address() {
    return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
  }

  /** Returns what it registers in the store. */
  String registration(String service, String zone, String state, int sequence, long born) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address()
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":"
        + slots
        + ",\"state\":\""
        + state
        + "\",\"slowStartMs\":0,\"sequence\":"
        + sequence
        + ",\"born\":"
        + born
        + "}";
  }

  private void accept() throws IOException {
    while (!socket.isClosed()) {
      Socket connection = socket.accept();
      Threads.start("server-connection", () -> serve(connection));
    }
  }

  private void serve(Socket connection) throws IOException {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = Http.buffered(connection.getInputStream());
      Http.Head head = Http.readHead(in);
      while (head != null) {
        Request request = new Request(head, Http.readBody(in, head));
        connection.getOutputStream().write(answer(request));
        head = Http.readHead(in);
      }
    }
  }

  private String load(int others) {
    return "Wagtailpin-Server-Load: " + Math.max(0, running.get() - others) + ",0," + slots
        + "\r\n";
  }

  private byte[] answer(Request request) {
    if (request.id() == null) {
      return request.head().word(1).equals("/health")
          ? Http.answer(200, "Wagtailpin-Instance-Id: " + id + "\r\n" + load(0), new byte[0])
          : Http.answer(400, "Wagtailpin-Not-Executed: 1\r\n", new byte[0]);
    }
    String echo = "Wagtailpin-Request-Id: " + request.id() + "\r\n";
    String target = request.head().header("wagtailpin-target-instance");
    if (target != null && !target.equals(id)) {
      return Http.answer(421, echo + "Wagtailpin-Instance-Id: " + id + "\r\n", new byte[0]);
    }
    if (running.incrementAndGet() > slots) {
      running.decrementAndGet();
      return Http.answer(503, echo + load(0) + "Wagtailpin-Not-Executed: 1\r\n", new byte[0]);
    }
    try {
      Threads.sleep(workMillis.apply(request));
    } finally {
      running.decrementAndGet();
    }
    String signature = "Wagtailpin-Response-Signature: sig-" + request.id() + "\r\n";
    return Http.answer(200, echo + signature + load(0), Http.bytes("done " + request.id()));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
