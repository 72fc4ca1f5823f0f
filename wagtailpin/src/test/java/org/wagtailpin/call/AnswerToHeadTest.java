package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;

/** Plays backend servers that repeat an answer around a HEAD request. */
class AnswerToHeadTest {

  private static final String EMBEDDED = "HTTP/1.1 204 Embedded\r\nX-Mark: embedded\r\n\r\n";

  private static String head(RawHttpMessage request, String mark, int length) {
    return "HTTP/1.1 200 OK\r\nWagtailpin-Attempt: "
        + request.header("wagtailpin-attempt")
        + "\r\nX-Mark: "
        + mark
        + "\r\nContent-Length: "
        + length
        + "\r\n\r\n";
  }

  private static boolean isHead(RawHttpMessage request) {
    return request.startLine().startsWith("HEAD ");
  }

  /** A server that repeats each answer before the next one on the connection. */
  private static RawServer.Script repeatsEachAnswer(String body) {
    Map<RawServer.Connection, String> repeated = new ConcurrentHashMap<>();
    return (request, to) -> {
      String answer =
          isHead(request) ? head(request, "head", 500) : head(request, "get", body.length()) + body;
      String earlier = repeated.put(to, answer);
      to.send((earlier == null ? "" : earlier) + answer);
      return true;
    };
  }

  private static RawHttpMessage callHead(RawCaller caller) throws IOException {
    caller.send("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
    return RawHttpMessage.readAnswerToHead(caller.socket().getInputStream());
  }

  private static TestEntry.Builder entry(RawServer server) {
    return new TestEntry.Builder().server(server.port()).deadlineMillis(2_000);
  }

  // Guards against a part of a repeated body as the answer to HEAD: the decoder took the repeated
  // answer for the one to HEAD, and its body for the next answer.
  @Test
  void aRepeatedAnswerWithABodyIsNotTakenForTheAnswerToHead() throws Exception {
    try (RawServer server = new RawServer(repeatsEachAnswer(EMBEDDED));
        TestEntry entry = entry(server).start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("GET", "/x", "", "").text()).isEqualTo(EMBEDDED);
      RawHttpMessage answer = callHead(caller);

      assertThat(answer.header("x-mark")).isEqualTo("head");
      assertThat(answer.header("content-length")).isEqualTo("500");
      assertThat(caller.call("GET", "/x", "", "").text()).isEqualTo(EMBEDDED);
    }
  }

  // Guards against a lost answer: the repeated answer to HEAD was read with as many bytes as its
  // Content-Length states, which were those of the due answer.
  @Test
  void aRepeatedAnswerToHeadTakesNoBytesOfTheDueAnswer() throws Exception {
    try (RawServer server = new RawServer(repeatsEachAnswer("whole"));
        TestEntry entry = entry(server).echoes().start();
        RawCaller caller = entry.caller()) {
      assertThat(callHead(caller).header("x-mark")).isEqualTo("head");
      RawHttpMessage answer = caller.call("GET", "/x", "", "");

      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.text()).isEqualTo("whole");
    }
  }

  @Test
  void anInterimAnswerBeforeTheAnswerToHeadIsDiscarded() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.send("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
                  to.send(head(request, "head", 500));
                  return true;
                });
        TestEntry entry = entry(server).echoes().start();
        RawCaller caller = entry.caller()) {
      for (int i = 0; i < 3; i++) {
        assertThat(callHead(caller).header("content-length")).isEqualTo("500");
      }
      assertThat(server.connections()).isEqualTo(1);
    }
  }
}
