package org.wagtailpin.caller;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wagtailpin.call.Polling;
import org.wagtailpin.call.RawCaller;
import org.wagtailpin.call.RawHttpMessage;
import org.wagtailpin.call.RawServer;
import org.wagtailpin.call.TestEntry;

/** Tests that malformed, incomplete and oversized requests are rejected. */
class BadInputTest {

  private static final int IDLE_CONNECTIONS = 8_000;

  private static RawServer echoServer() throws Exception {
    return new RawServer((request, to) -> to.answer(request, "", request.text()));
  }

  private static CallerLimits limits(long headMillis, long bodyMillis, long answerMillis) {
    CallerLimits all = CallerLimits.defaults();
    return new CallerLimits(
        all.maxConnections(),
        all.maxRequestLineBytes(),
        all.maxHeadBytes(),
        200_000,
        all.idleTimeoutMillis(),
        headMillis,
        bodyMillis,
        answerMillis,
        all.lingerMillis(),
        1_000,
        all.maxUnsentBytes());
  }

  /**
   * In the inputs, a vertical bar stands for the end of a line, a caret for a comma and a tilde for
   * a tab.
   */
  @ParameterizedTest
  @CsvSource({
    "400, POST /x HTTP/1.1|Host: a|Content-Length: 5|Transfer-Encoding: chunked||0||",
    "400, POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked|Content-Length: 5||0||",
    "400, POST /x HTTP/1.1|Host: a|Content-Length: 5|Content-Length: 6||hello",
    "400, POST /x HTTP/1.1|Host: a|Content-Length: +5||hello",
    "400, POST /x HTTP/1.1|Host: a|Content-Length: -5||hello",
    "400, POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked||zz|hello|0||",
    "400, POST /x HTTP/1.1|Host: a|Transfer-Encoding: chunked|Transfer-Encoding: chunked||0||",
    "501, POST /x HTTP/1.1|Host: a|Transfer-Encoding: gzip^ chunked||0||",
    "400, POST /x HTTP/1.1|Host: a|Transfer-Encoding: identity||hello",
    "400, POST /x HTTP/1.0|Host: a|Transfer-Encoding: chunked||0||",
    "400, GET /x HTTP/1.1|Host: a|X-Fold: one| two||",
    "400, GET /x HTTP/1.1|Host: a|X-Fold: one|~two||",
    "400, GET /x HTTP/1.1|Host : a||",
    "400, GET /x HTTP/1.1|Host: a|No colon||",
    "400, GET /x HTTP/1.1||",
    "400, GET /x HTTP/1.1|Host: a|Host: b||",
    "400, GET /x HTTP/1.1|Host: a/b||",
    "400, GET x HTTP/1.1|Host: a||",
    "400, GET /x#y HTTP/1.1|Host: a||",
    "505, GET /x HTTP/3.7|Host: a||",
    "501, CONNECT a:1 HTTP/1.1|Host: a||",
    "417, GET /x HTTP/1.1|Host: a|Expect: magic||",
    "400, GET /x HTTP/1.1|Host: a|Wagtailpin-Timeout-Millis: soon||",
  })
  void aMalformedRequestIsRejectedWithoutAffectingOtherConnections(int status, String input)
      throws Exception {
    String text = input.replace("^", ",").replace("~", "\t").replace("|", "\r\n");
    try (RawServer server = echoServer();
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller other = entry.caller();
        RawCaller caller = entry.caller()) {
      other.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhel");
      caller.send(text);
      RawHttpMessage answer = caller.read();
      other.send("lo");

      assertThat(answer.status()).isEqualTo(status);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("not-run");
      assertThat(answer.header("connection")).isEqualTo("close");
      assertThat(caller.atEnd()).isTrue();
      assertThat(other.read().text()).isEqualTo("hello");
      assertThat(server.requests()).hasSize(1);
    }
  }

  @Test
  void aBareLineFeedIsRejectedAsALineEnd() throws Exception {
    try (TestEntry entry = new TestEntry.Builder().start();
        RawCaller caller = entry.caller()) {
      caller.send("GET /x HTTP/1.1\nHost: a\n\n");

      assertThat(caller.read().status()).isEqualTo(400);
    }
  }

  @Test
  void anOversizedHeadIsRefusedWhileItIsStillArriving() throws Exception {
    try (TestEntry entry = new TestEntry.Builder().start();
        RawCaller caller = entry.caller();
        RawCaller longLine = entry.caller()) {
      caller.send("GET /x HTTP/1.1\r\nHost: a\r\nX-Endless: " + "x".repeat(17_000));
      longLine.send("GET /" + "x".repeat(9_000));

      assertThat(caller.read().status()).isEqualTo(431);
      assertThat(longLine.read().status()).isEqualTo(414);
    }
  }

  @Test
  void anIncompleteHeadTimesOut() throws Exception {
    try (TestEntry entry = new TestEntry.Builder().limits(limits(50, 9_000, 9_000)).start();
        RawCaller caller = entry.caller()) {
      caller.send("GET /x HTTP/1.1\r\nHost: a\r\nX-");

      assertThat(caller.read().status()).isEqualTo(408);
      assertThat(caller.atEnd()).isTrue();
    }
  }

  @Test
  void aShortBodyThatNeverArrivesIsReportedAsNotRun() throws Exception {
    try (RawServer server = echoServer();
        TestEntry entry =
            new TestEntry.Builder().server(server.port()).limits(limits(9_000, 50, 9_000)).start();
        RawCaller caller = entry.caller()) {
      caller.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhel");
      RawHttpMessage answer = caller.read();

      assertThat(answer.status()).isEqualTo(408);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("not-run");
      assertThat(server.connections()).isEqualTo(0);
    }
  }

  @Test
  void aLongBodyThatStallsIsReportedAsUnknownAndNeverSentAsComplete() throws Exception {
    try (RawServer server = echoServer();
        TestEntry entry =
            new TestEntry.Builder()
                .server(server.port())
                .limits(limits(9_000, 300, 9_000))
                .start();
        RawCaller caller = entry.caller()) {
      caller.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
      caller.send("x".repeat(90_000));
      RawHttpMessage answer = caller.read();

      assertThat(answer.status()).isEqualTo(408);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
      assertThat(server.requests()).isEmpty();
    }
  }

  // Guards against "not run" for a request that a server may have begun to work on: 408 promises it
  // to callers who recognize such requests by their status.
  @Test
  void aLongBodyThatStallsGetsNoStatusThatMeansNotRun() throws Exception {
    try (RawServer server = echoServer();
        TestEntry entry =
            new TestEntry.Builder()
                .server(server.port())
                .notRunStatuses(408, 421, 429, 503)
                .limits(limits(9_000, 300, 9_000))
                .start();
        RawCaller caller = entry.caller()) {
      caller.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n");
      caller.send("x".repeat(90_000));
      RawHttpMessage answer = caller.read();

      assertThat(answer.status()).isEqualTo(502);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
    }
  }

  @Test
  void aMalformedChunkWithinALongBodyIsReportedAsUnknown() throws Exception {
    try (RawServer server = echoServer();
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      caller.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      caller.send("15f90\r\n" + "x".repeat(90_000) + "\r\n");
      // An accepted connection alone does not show that the entry has begun to send the request.
      Polling.until(() -> server.begunRequests() == 1);
      caller.send("zz\r\n");
      RawHttpMessage answer = caller.read();

      assertThat(answer.status()).isEqualTo(400);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
      assertThat(server.requests()).isEmpty();
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    try (RawServer server = echoServer();
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      StringBuilder text = new StringBuilder();
      for (int i = 100; i < 400; i++) {
        text.append("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n").append(i);
      }
      caller.send(text.toString());

      for (int i = 100; i < 400; i++) {
        assertThat(caller.read().text()).isEqualTo(Integer.toString(i));
      }
    }
  }

  @Test
  void aRequestAfterARefusedBodyIsServed() throws Exception {
    try (RawServer server = echoServer();
        TestEntry entry = new TestEntry.Builder().server(server.port()).internal().start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", "Wagtailpin-Depth: 10\r\n", "refused").status())
          .isEqualTo(508);
      assertThat(caller.call("POST", "/x", "", "served").text()).isEqualTo("served");
    }
  }

  @Test
  void anOversizedBodyIsRefusedByItsStatedLengthAndWhileItArrives() throws Exception {
    try (RawServer server = echoServer();
        TestEntry entry =
            new TestEntry.Builder()
                .server(server.port())
                .limits(limits(9_000, 9_000, 9_000))
                .start();
        RawCaller stated = entry.caller();
        RawCaller chunked = entry.caller()) {
      stated.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 200001\r\n\r\n");
      chunked.send("POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      chunked.send("30d41\r\n" + "x".repeat(200_001));

      assertThat(stated.read().status()).isEqualTo(413);
      assertThat(chunked.read().status()).isEqualTo(413);
    }
  }

  @Test
  void aCallerThatExpects100ContinueReceivesIt() throws Exception {
    try (RawServer server = echoServer();
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      caller.send(
          "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
      assertThat(caller.read().status()).isEqualTo(100);
      caller.send("hello");

      assertThat(caller.read().text()).isEqualTo("hello");
      assertThat(server.requests().get(0).header("expect")).isEmpty();
    }
  }

  @Test
  void callersAreServedWhileThousandsOfConnectionsAreIdle() throws Exception {
    List<RawCaller> idle = new ArrayList<>();
    try (RawServer server = echoServer();
        TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
      for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        idle.add(entry.caller());
      }
      Polling.until(() -> entry.listener().openConnections() == IDLE_CONNECTIONS);

      assertThat(entry.call("POST", "", "hello").text()).isEqualTo("hello");
      assertThat(idle.get(0).call("POST", "/x", "", "again").text()).isEqualTo("again");
    } finally {
      for (RawCaller caller : idle) {
        caller.close();
      }
    }
  }
}
