package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.zip.CRC32;
import org.junit.jupiter.api.Test;

/** Tests streaming and backpressure of long request bodies and answers. */
class StreamingTest {

  private static final int BODY_BYTES = 64 << 20;
  private static final int SLICE_BYTES = 8192;
  private static final int SEED = 7;
  private static final long MAX_MEMORY_GROWTH_BYTES = 16 << 20;
  private static final int BLOCKED_AFTER_SECONDS = 2;

  /** Sends {@link #BODY_BYTES} of seeded random data and returns its checksum. */
  private static long sendBody(OutputStream out) throws IOException {
    Random random = new Random(SEED);
    CRC32 sum = new CRC32();
    byte[] slice = new byte[SLICE_BYTES];
    for (int sent = 0; sent < BODY_BYTES; sent += SLICE_BYTES) {
      random.nextBytes(slice);
      sum.update(slice);
      out.write(slice);
    }
    out.flush();
    return sum.getValue();
  }

  private static long receiveBody(InputStream in) throws IOException {
    CRC32 sum = new CRC32();
    byte[] slice = new byte[SLICE_BYTES];
    int left = BODY_BYTES;
    while (left > 0) {
      int count = in.read(slice, 0, Math.min(SLICE_BYTES, left));
      if (count < 0) {
        throw new IOException("connection closed with " + left + " body bytes missing");
      }
      sum.update(slice, 0, count);
      left -= count;
    }
    return sum.getValue();
  }

  private static void skipHead(InputStream in) throws IOException {
    int matched = 0;
    while (matched < 4) {
      int next = in.read();
      matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
    }
  }

  private interface Endpoint {
    Long run() throws IOException;
  }

  private static CompletableFuture<Long> start(Endpoint endpoint) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return endpoint.run();
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        },
        task -> new Thread(task, "side").start());
  }

  @Test
  void aLongRequestBodyIsStreamedToASlowServerInBoundedMemory() throws Exception {
    CountDownLatch mayRead = new CountDownLatch(1);
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        TestEntry entry =
            new TestEntry.Builder().server(server.getLocalPort()).deadlineMillis(60_000).start();
        RawCaller caller = entry.caller()) {
      CompletableFuture<Long> received =
          start(
              () -> {
                try (Socket socket = server.accept()) {
                  mayRead.await();
                  skipHead(socket.getInputStream());
                  long sum = receiveBody(socket.getInputStream());
                  socket
                      .getOutputStream()
                      .write(RawHttpMessage.bytes("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
                  caller.read();
                  return sum;
                } catch (InterruptedException e) {
                  throw new IOException(e);
                }
              });
      long before = PlatformDependent.usedDirectMemory();
      CompletableFuture<Long> sent =
          start(
              () -> {
                caller.send(
                    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n");
                return sendBody(caller.socket().getOutputStream());
              });

      // Without backpressure the entry would accept the complete body although nobody reads it.
      assertThat(finishes(sent)).isFalse();
      mayRead.countDown();

      assertThat(received.get()).isEqualTo(sent.get());
      assertThat(PlatformDependent.usedDirectMemory() - before).isLessThan(MAX_MEMORY_GROWTH_BYTES);
    }
  }

  @Test
  void aLongAnswerIsStreamedToASlowCallerInBoundedMemory() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        TestEntry entry =
            new TestEntry.Builder().server(server.getLocalPort()).deadlineMillis(60_000).start();
        RawCaller caller = entry.caller()) {
      long before = PlatformDependent.usedDirectMemory();
      CompletableFuture<Long> sent =
          start(
              () -> {
                try (Socket socket = server.accept()) {
                  skipHead(socket.getInputStream());
                  String head = "HTTP/1.1 200 OK\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n";
                  socket.getOutputStream().write(RawHttpMessage.bytes(head));
                  return sendBody(socket.getOutputStream());
                }
              });
      caller.send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");

      assertThat(finishes(sent)).isFalse();
      skipHead(caller.socket().getInputStream());
      long received = receiveBody(caller.socket().getInputStream());

      assertThat(received).isEqualTo(sent.get());
      assertThat(PlatformDependent.usedDirectMemory() - before).isLessThan(MAX_MEMORY_GROWTH_BYTES);
    }
  }

  private static boolean finishes(CompletableFuture<Long> transfer) throws Exception {
    try {
      transfer.get(BLOCKED_AFTER_SECONDS, TimeUnit.SECONDS);
      return true;
    } catch (TimeoutException e) {
      return false;
    }
  }

  @Test
  void aChunkedBodyIsStreamedInChunks() throws Exception {
    String part = "x".repeat(100_000);
    try (RawServer server = new RawServer((request, to) -> to.answer(request, "", "got"));
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      caller.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      caller.send(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n");
      caller.send("1\r\ny\r\n0\r\n\r\n");

      assertThat(caller.read().text()).isEqualTo("got");
      assertThat(server.requests().get(0).text()).isEqualTo(part + "y");
    }
  }

  @Test
  void anAnswerBeforeTheBodyEndsIsRelayedAndTheConnectionIsNotReused() throws Exception {
    try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress());
        TestEntry entry = new TestEntry.Builder().server(server.getLocalPort()).start();
        RawCaller caller = entry.caller()) {
      caller.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
      caller.send("x".repeat(99_999));
      try (Socket socket = server.accept()) {
        skipHead(socket.getInputStream());
        socket
            .getOutputStream()
            .write(RawHttpMessage.bytes("HTTP/1.1 413 Long\r\nContent-Length: 0\r\n\r\n"));

        assertThat(caller.read().status()).isEqualTo(413);
        Polling.until(() -> entry.backend().openConnections() == 0);
      }
      caller.send("x");
      start(
          () -> {
            try (Socket socket = server.accept()) {
              skipHead(socket.getInputStream());
              socket
                  .getOutputStream()
                  .write(RawHttpMessage.bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
              return 0L;
            }
          });
      assertThat(caller.call("GET", "/y", "", "").text()).isEqualTo("ok");
    }
  }
}
