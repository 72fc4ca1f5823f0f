package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client's attempt on a connection of its own. */
final class Client {

  /** The answer's status, 0 if the connection ended or timed out without an answer. */
  record Answer(int status, String body) {}

  private static final AtomicInteger SENT = new AtomicInteger();
  private static final AtomicInteger SERVED = new AtomicInteger();

  private Client() {}

  /** Returns how many requests were sent by all clients. */
  static int sent() {
    return SENT.get();
  }

  /** Returns how many of them were answered with success. */
  static int served() {
    return SERVED.get();
  }

  static Answer send(Entry entry, String method, String path, String id, long deadlineMillis) {
    SENT.incrementAndGet();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(entry.address(), entry.front()), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) deadlineMillis);
      String body = method.equals("GET") ? "" : "order " + id;
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: shop.example\r\nWagtailpin-Request-Id: "
              + id
              + "\r\nWagtailpin-Deadline-Ms: "
              + deadlineMillis
              + "\r\n"
              + (body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n")
              + "\r\n"
              + body;
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      Http.Message answer = Http.read(new BufferedInputStream(socket.getInputStream()));
      if (answer.status() == 200) {
        SERVED.incrementAndGet();
      }
      return new Answer(answer.status(), new String(answer.body(), StandardCharsets.UTF_8));
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e.getMessage()));
    }
  }
}
