package org.wagtailpin.call;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Backend server on a raw socket, whose answers are controlled byte by byte by a test. */
public final class RawServer implements AutoCloseable {

  /** Serves the requests of the connections, one at a time. */
  public interface Script {

    /**
     * Serves a request.
     *
     * @param request the request, including its body
     * @param connection the connection on which to answer
     * @return whether to read another request from the connection; if not, it is closed
     */
    boolean serve(RawHttpMessage request, Connection connection) throws IOException;
  }

  /** An accepted connection. */
  public record Connection(Socket socket) {

    public void send(String text) throws IOException {
      socket.getOutputStream().write(RawHttpMessage.bytes(text));
      socket.getOutputStream().flush();
    }

    /**
     * Sends a complete answer with status 200 that repeats the attempt identifier.
     *
     * @return true, for use as the result of a script
     */
    public boolean answer(RawHttpMessage request, String extraHeaders, String body)
        throws IOException {
      send(
          "HTTP/1.1 200 OK\r\nWagtailpin-Attempt: "
              + request.header("wagtailpin-attempt")
              + "\r\n"
              + extraHeaders
              + "Content-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      return true;
    }

    /**
     * Closes the connection with a TCP reset.
     *
     * @return false, for use as the result of a script
     */
    public boolean reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
      return false;
    }
  }

  private final ServerSocket listener;
  private final Script script;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final List<RawHttpMessage> requests = new CopyOnWriteArrayList<>();
  private final AtomicInteger accepted = new AtomicInteger();
  private final AtomicInteger begunRequests = new AtomicInteger();

  public RawServer(Script script) throws IOException {
    this.script = script;
    listener = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  public int port() {
    return listener.getLocalPort();
  }

  /** Returns the completely received requests, in order. */
  public List<RawHttpMessage> requests() {
    return requests;
  }

  public int connections() {
    return accepted.get();
  }

  /** Returns how many requests have begun to arrive, complete or not. */
  public int begunRequests() {
    return begunRequests.get();
  }

  private static void start(Runnable body) {
    Thread thread = new Thread(body, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        accepted.incrementAndGet();
        sockets.add(socket);
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The listening socket was closed by close().
    }
  }

  /** Waits for the first byte of a request, and counts it. */
  private InputStream beginRequest(PushbackInputStream input) throws IOException {
    int first = input.read();
    if (first < 0) {
      throw new EOFException();
    }
    begunRequests.incrementAndGet();
    input.unread(first);
    return input;
  }

  private void serve(Socket socket) {
    try (socket) {
      Connection connection = new Connection(socket);
      PushbackInputStream input = new PushbackInputStream(socket.getInputStream());
      boolean more = true;
      while (more) {
        RawHttpMessage request = RawHttpMessage.read(beginRequest(input));
        requests.add(request);
        more = script.serve(request, connection);
      }
    } catch (IOException e) {
      // The connection was closed, which is expected in these tests.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
