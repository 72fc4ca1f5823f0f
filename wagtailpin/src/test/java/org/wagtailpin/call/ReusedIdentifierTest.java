package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.Test;

/** Plays callers that use an identifier again, and servers that repeat the answer that bears it. */
class ReusedIdentifierTest {

  private static final String SAME = "Wagtailpin-Request-Id: same\r\n";

  /** A server that repeats the first answer on a connection before the second one. */
  private static RawServer.Script repeatsFirstAnswer(String firstHead) {
    Map<RawServer.Connection, String> repeated = new ConcurrentHashMap<>();
    return (request, to) -> {
      String id = "Wagtailpin-Request-Id: " + request.header("wagtailpin-request-id") + "\r\n";
      String length = "Content-Length: " + request.text().length() + "\r\n\r\n";
      String head = request.text().equals("one") ? firstHead : "HTTP/1.1 200 OK\r\n";
      String answer = head + id + length + request.text();
      String earlier = repeated.put(to, answer);
      to.send((earlier == null ? "" : earlier) + answer);
      return true;
    };
  }

  private static TestEntry.Builder entry(RawServer server) {
    return new TestEntry.Builder()
        .server(server.port())
        .sharesIdentifierAmongAttempts()
        .callersSetIdentifiers()
        .echoes();
  }

  // Guards against the answer to an earlier call: a caller used its identifier again, and the
  // server repeated the first answer that bore it.
  @Test
  void aRepeatedAnswerIsNotTakenForTheAnswerToALaterCallWithTheSameIdentifier() throws Exception {
    try (RawServer server = new RawServer(repeatsFirstAnswer("HTTP/1.1 200 OK\r\n"));
        TestEntry entry = entry(server).start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", SAME, "one").text()).isEqualTo("one");
      assertThat(caller.call("POST", "/x", SAME, "two").text()).isEqualTo("two");
    }
  }

  @Test
  void aRepeatedRejectionIsNotTakenForTheAnswerToALaterCallWithTheSameIdentifier()
      throws Exception {
    String rejection = "HTTP/1.1 503 Full\r\nWagtailpin-Refused: not-run\r\n";
    try (RawServer server = new RawServer(repeatsFirstAnswer(rejection));
        TestEntry entry = entry(server).start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", SAME, "one").status()).isEqualTo(503);
      assertThat(caller.call("POST", "/x", SAME, "two").text()).isEqualTo("two");
    }
  }

  @Test
  void otherCallsBetweenTwoCallsWithOneIdentifierUseTheSameConnection() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  String id = request.header("wagtailpin-request-id");
                  to.send(
                      "HTTP/1.1 200 OK\r\nWagtailpin-Request-Id: "
                          + id
                          + "\r\nContent-Length: 2\r\n\r\nok");
                  return true;
                });
        TestEntry entry = entry(server).start();
        RawCaller caller = entry.caller()) {
      for (int i = 0; i < 200; i++) {
        String id = "Wagtailpin-Request-Id: q" + i + "\r\n";
        assertThat(caller.call("POST", "/x", id, "x").status()).isEqualTo(200);
      }
      assertThat(server.connections()).isEqualTo(1);
    }
  }
}
