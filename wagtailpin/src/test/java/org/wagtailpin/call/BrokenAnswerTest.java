package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/** Tests that an answer that breaks off, or that can be read in two ways, never looks complete. */
class BrokenAnswerTest {

  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final int LONG_BODY_BYTES = 64 << 20;
  private static final int BEGUN_BYTES = 1 << 20;
  private static final long DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Heads that two readers may understand differently, each with a body. */
  private static Map<String, String> ambiguousAnswers() {
    Map<String, String> answers = new LinkedHashMap<>();
    answers.put("two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n\r\nbody");
    answers.put("list of lengths", "Content-Length: 3, 4\r\n\r\nbody");
    answers.put("negative length", "Content-Length: -4\r\n\r\nbody");
    answers.put("signed length", "Content-Length: +4\r\n\r\nbody");
    answers.put("length that is no number", "Content-Length: four\r\n\r\nbody");
    answers.put(
        "length and chunks",
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    answers.put(
        "chunks and length",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    answers.put("unknown coding", "Transfer-Encoding: gzip\r\n\r\nbody");
    answers.put(
        "unknown coding and length", "Transfer-Encoding: x\r\nContent-Length: 4\r\n\r\nbody");
    answers.put(
        "coding before chunks", "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    answers.put("line without colon", "Mark\r\nContent-Length: 4\r\n\r\nbody");
    answers.put("status line in the head", "HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nbody");
    return answers;
  }

  /** Returns the status of a call answered with the given text, 0 if the answer breaks off. */
  private static int statusOfCallAnsweredBy(String text) throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.send(text);
                  return false;
                });
        TestEntry entry =
            new TestEntry.Builder().server(server.port()).allowsUnframedAnswers().start()) {
      return entry.call("POST", "", "order").status();
    } catch (IOException e) {
      return 0;
    }
  }

  // Guards against a refusal of answers that name a proxy by its protocol and address.
  @Test
  void anAnswerOfAServerBehindAProxyIsPassedOn() throws Exception {
    String via = "Via: HTTP/1.1 192.168.0.7\r\nContent-Length: 4\r\n\r\nbody";

    assertThat(statusOfCallAnsweredBy(OK + via)).isEqualTo(200);
  }

  @Test
  void anAnswerThatCanBeReadInTwoWaysIsNotPassedOn() throws Exception {
    for (Map.Entry<String, String> answer : ambiguousAnswers().entrySet()) {
      assertWithMessage(answer.getKey())
          .that(statusOfCallAnsweredBy(OK + answer.getValue()))
          .isAnyOf(0, 502);
    }
  }

  @Test
  void anAnswerCutAtAnyPlaceIsNotComplete() throws Exception {
    String chunked =
        OK + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n";
    String withLength = OK + "Content-Length: 4\r\n\r\nbody";
    for (String whole : new String[] {chunked, withLength}) {
      assertThat(statusOfCallAnsweredBy(whole)).isEqualTo(200);
      for (int cut = 0; cut < whole.length(); cut++) {
        assertWithMessage(whole.substring(0, cut))
            .that(statusOfCallAnsweredBy(whole.substring(0, cut)))
            .isAnyOf(0, 502);
      }
    }
  }

  private static void readHead(InputStream in) throws IOException {
    while (in.read() != '\n' || in.read() != '\r') {
      // Not at the empty line yet.
    }
    assertThat(in.read()).isEqualTo('\n');
  }

  /**
   * Answers a request, then reads a part of the next one on the connection, answers without a
   * length and resets the connection.
   */
  private static void answerEarlyAndReset(ServerSocket listener) {
    try (Socket socket = listener.accept()) {
      readHead(socket.getInputStream());
      socket.getOutputStream().write(RawHttpMessage.bytes(OK + "Content-Length: 0\r\n\r\n"));
      readHead(socket.getInputStream());
      socket.getInputStream().readNBytes(BEGUN_BYTES);
      socket.getOutputStream().write(RawHttpMessage.bytes(OK + "\r\nhalf of it"));
      LockSupport.parkNanos(DELAY_NANOS);
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  private static void sendLongBody(RawCaller caller) {
    try {
      byte[] slice = new byte[BEGUN_BYTES];
      for (int sent = 0; sent < LONG_BODY_BYTES; sent += slice.length) {
        caller.socket().getOutputStream().write(slice);
      }
    } catch (IOException e) {
      // The entry doesn't read the rest of the body.
    }
  }

  @Test
  void anAnswerWithoutALengthThatIsResetWhileTheRequestIsWrittenIsNotComplete() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        TestEntry entry =
            new TestEntry.Builder()
                .server(listener.getLocalPort())
                .allowsUnframedAnswers()
                .start();
        RawCaller caller = entry.caller()) {
      CompletableFuture<Void> served =
          CompletableFuture.runAsync(() -> answerEarlyAndReset(listener));
      assertThat(caller.call("GET", "/x", "", "").status()).isEqualTo(200);
      caller.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: " + LONG_BODY_BYTES + "\r\n\r\n");
      CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> sendLongBody(caller));

      assertThrows(IOException.class, caller::read);
      served.get();
      sent.get();
    }
  }

  /** Makes a call with HTTP/1.0 whose answer breaks off when the listener ends. */
  private static void callHttp10UntilListenerEnds(RawServer server) throws Exception {
    try (TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      caller.send("GET /x HTTP/1.0\r\nHost: a\r\n\r\n");
      InputStream in = caller.socket().getInputStream();
      readHead(in);
      assertThat(in.readNBytes(4)).isEqualTo(RawHttpMessage.bytes("body"));
      entry.listener().drain(0);

      assertThrows(IOException.class, in::read);
    }
  }

  // Guards against a part of an answer as a whole one: an answer to HTTP/1.0 ends with its
  // connection, which the entry closed at the end of the grace time.
  @Test
  void anAnswerToHttp10ThatIsCutByTheEndOfTheListenerIsNotComplete() throws Exception {
    try (RawServer server =
        new RawServer(
            (request, to) -> {
              to.send(OK + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
              return true;
            })) {
      callHttp10UntilListenerEnds(server);
    }
  }

  @Test
  void aWholeAnswerToHttp10EndsWithItsConnectionInAnOrderlyWay() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.send(
                      OK + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n4\r\n end\r\n0\r\n\r\n");
                  return true;
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      caller.send("GET /x HTTP/1.0\r\nHost: a\r\n\r\n");
      InputStream in = caller.socket().getInputStream();
      readHead(in);

      assertThat(in.readAllBytes()).isEqualTo(RawHttpMessage.bytes("body end"));
    }
  }
}
