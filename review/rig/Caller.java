import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A client that sends one request on a new connection and waits for its answer. */
final class Caller {

  private static final int CONNECT_MILLIS = 1_000;

  private Caller() {}

  /**
   * Sends a request.
   *
   * @return the status of the answer, or -1 if the connection ended without one
   */
  static int call(EntryProcess entry, String requestHead, byte[] body, int waitMillis) {
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(entry.frontHost(), entry.frontPort()), CONNECT_MILLIS);
      socket.setSoTimeout(waitMillis);
      socket.getOutputStream().write(Http.bytes(requestHead));
      socket.getOutputStream().write(body);
      InputStream in = Http.buffered(socket.getInputStream());
      Http.Head head = Http.readHead(in);
      if (head == null) {
        return -1;
      }
      Http.readBody(in, head);
      return head.status();
    } catch (IOException e) {
      return -1;
    }
  }
}
