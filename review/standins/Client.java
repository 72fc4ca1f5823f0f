package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's attempt on a connection of its own. */
final class Client {

  /** The answer's status, 0 if the connection ended or timed out without an answer. */
  record Answer(int status, String body) {}

  private Client() {}

  static Answer send(Entry entry, String method, String path, String id, long deadlineMillis) {
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
      return new Answer(answer.status(), new String(answer.body(), StandardCharsets.UTF_8));
    } catch (IOException e) {
      return new Answer(0, String.valueOf(e.getMessage()));
    }
  }
}
