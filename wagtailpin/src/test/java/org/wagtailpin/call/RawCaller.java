package org.wagtailpin.call;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;

/** Caller on a raw socket, for requests that an HTTP client would not send. */
public final class RawCaller implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLIS = 8_000;

  private final Socket socket = new Socket();

  public RawCaller(InetSocketAddress entry) throws IOException {
    socket.connect(entry);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
  }

  public Socket socket() {
    return socket;
  }

  public void send(String text) throws IOException {
    socket.getOutputStream().write(RawHttpMessage.bytes(text));
    socket.getOutputStream().flush();
  }

  public RawHttpMessage read() throws IOException {
    return RawHttpMessage.read(socket.getInputStream());
  }

  public RawHttpMessage call(String method, String path, String headers, String body)
      throws IOException {
    String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
    send(method + " " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + length + "\r\n" + body);
    return read();
  }

  /** Returns whether the entry has closed the connection; blocks until it does or sends a byte. */
  public boolean atEnd() throws IOException {
    try {
      return socket.getInputStream().read() < 0;
    } catch (SocketException e) {
      return true;
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
