package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** One entry's path to the store; while it is cut, no byte passes, and nothing is closed. */
final class StoreProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 65_536;

  private final ServerSocket listener;
  private final InetSocketAddress store;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;
  private volatile long lastCallMillis = Long.MIN_VALUE / 2;

  StoreProxy(String address, String storeAddress, int storePort) throws IOException {
    store = new InetSocketAddress(storeAddress, storePort);
    listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName(address), 0), 64);
    Threads.start("proxy", this::accept);
  }

  String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Cuts or heals the path. What was held up while it was cut is lost, with its connections. */
  void cut(boolean next) {
    cut = next;
    if (!next) {
      sockets.forEach(StoreProxy::closeQuietly);
      sockets.clear();
    }
  }

  /** Makes the open connections silent for good, without closing them; new ones work. */
  void silenceOpenConnections() {
    silent.addAll(sockets);
  }

  /** Returns when the entry last sent a call to the store, by the steady clock. */
  long lastCallMillis() {
    return lastCallMillis;
  }

  private void accept() {
    try {
      while (true) {
        Socket entry = listener.accept();
        sockets.add(entry);
        if (!cut) {
          Socket upstream = new Socket();
          upstream.connect(store, 1_000);
          sockets.add(upstream);
          Threads.start("proxy-out", () -> copy(entry, upstream, true));
          Threads.start("proxy-in", () -> copy(upstream, entry, false));
        }
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void copy(Socket from, Socket to, boolean calls) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      while (true) {
        int count = in.read(buffer);
        if (count < 0) {
          break;
        }
        if (cut || silent.contains(from)) {
          // The connection stays open and silent; the bytes are lost.
          continue;
        }
        if (calls && new String(buffer, 0, 4, StandardCharsets.ISO_8859_1).startsWith("GET ")) {
          lastCallMillis = System.nanoTime() / 1_000_000;
        }
        out.write(buffer, 0, count);
      }
    } catch (IOException e) {
      // One side has closed.
    }
    if (!cut && !silent.contains(from)) {
      closeQuietly(from);
      closeQuietly(to);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is gone either way.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    sockets.forEach(StoreProxy::closeQuietly);
  }
}
