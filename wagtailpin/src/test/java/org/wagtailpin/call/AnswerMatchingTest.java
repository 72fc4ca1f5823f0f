package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.wagtailpin.backend.BackendLoadProbe;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.routing.ProbeAnswer;
import org.wagtailpin.transport.EventLoops;
import org.wagtailpin.transport.HttpDialect;

/** Tests how answers are matched to their requests, validated and relayed. */
class AnswerMatchingTest {

  /** Makes one POST to a server that sends the given text and closes the connection. */
  private static RawHttpMessage callAnsweredBy(String text, boolean echoes) throws Exception {
    TestEntry.Builder builder = new TestEntry.Builder();
    if (echoes) {
      builder.echoes();
    }
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.send(text);
                  return false;
                });
        TestEntry entry = builder.server(server.port()).start()) {
      return entry.call("POST", "", "order");
    }
  }

  private static void assertUnknown(RawHttpMessage answer, String detail) {
    assertThat(answer.status()).isEqualTo(502);
    assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
    assertThat(answer.text()).contains(detail);
  }

  @Test
  void anAnswerToAnotherRequestIsNotRelayed() throws Exception {
    RawHttpMessage answer =
        callAnsweredBy(
            "HTTP/1.1 200 OK\r\nWagtailpin-Attempt: other.1\r\nContent-Length: 6\r\n\r\nsecret",
            false);

    assertUnknown(answer, "another request");
    assertThat(answer.text()).doesNotContain("secret");
  }

  @Test
  void anAnswerWithoutTheAttemptIdentifierIsNotRelayedIfTheServiceEchoesIt() throws Exception {
    assertUnknown(
        callAnsweredBy("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret", true),
        "another request");
  }

  @Test
  void aSurplusAnswerIsDiscardedAndItsConnectionIsClosed() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.send(
                      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
                          + request.text()
                          + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nBAD");
                  return true;
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
      assertThat(entry.call("POST", "", "one").text()).isEqualTo("one");
      Polling.until(() -> entry.backend().openConnections() == 0);
      assertThat(entry.call("POST", "", "two").text()).isEqualTo("two");

      assertThat(server.connections()).isEqualTo(2);
    }
  }

  @Test
  void interimAnswersAreDiscarded() throws Exception {
    RawHttpMessage answer =
        callAnsweredBy(
            RawHttpMessage.lines(
                "HTTP/1.1 103 Early Hints",
                "Link: x",
                "",
                "HTTP/1.1 100 Continue",
                "",
                "HTTP/1.1 200 OK",
                "Content-Length: 2",
                "",
                "ok"),
            false);

    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.text()).isEqualTo("ok");
  }

  @Test
  void anUnrequestedProtocolSwitchIsAnUnknownOutcome() throws Exception {
    RawHttpMessage answer =
        callAnsweredBy(
            "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nrest", false);

    assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
  }

  @Test
  void anAnswerTruncatedWithinItsHeadBecomesA502() throws Exception {
    assertUnknown(callAnsweredBy("HTTP/1.1 200 OK\r\nContent-Len", false), "");
  }

  @Test
  void anAnswerWithoutALengthIsRejected() throws Exception {
    assertUnknown(callAnsweredBy("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nhalf of someth", false), "length");
    assertUnknown(callAnsweredBy("HTTP/1.1 200 OK\r\n\r\nhalf of someth", false), "length");
  }

  @Test
  void anAnswerShorterThanItsLengthResetsTheCallersConnection() {
    assertThrows(
        IOException.class,
        () -> callAnsweredBy("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", false));
  }

  @Test
  void aChunkedAnswerWithoutItsLastChunkResetsTheCallersConnection() {
    assertThrows(
        IOException.class,
        () ->
            callAnsweredBy(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false));
  }

  @Test
  void aChunkedAnswerIsRelayedCompletely() throws Exception {
    RawHttpMessage answer =
        callAnsweredBy(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n",
            false);

    assertThat(answer.text()).isEqualTo("whole");
  }

  @Test
  void anEmptyAnswerNeedsNoLength() throws Exception {
    assertThat(callAnsweredBy("HTTP/1.1 204 No Content\r\n\r\n", false).status()).isEqualTo(204);
  }

  @Test
  void anAnswerToHeadKeepsItsLengthAndHasNoBody() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
                  return true;
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      for (int i = 0; i < 2; i++) {
        caller.send("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n");
        RawHttpMessage answer = RawHttpMessage.readAnswerToHead(caller.socket().getInputStream());
        assertThat(answer.header("content-length")).isEqualTo("500");
      }
      assertThat(server.connections()).isEqualTo(1);
    }
  }

  @Test
  void messagesAreRelayedUnchanged() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.send(
                      RawHttpMessage.lines(
                          "HTTP/1.1 302 Found",
                          "Location: /other",
                          "Set-Cookie: a=b",
                          "Content-Encoding: gzip",
                          "Keep-Alive: timeout=5",
                          "X-Hop: 1",
                          "Connection: x-hop",
                          "Content-Length: 3",
                          "",
                          "raw"));
                  return true;
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = entry.caller()) {
      caller.call("GET", "/a%20b/%7Ec?q=%2F&q", "Connection: x-mine\r\nX-Mine: 1\r\n", "");
      RawHttpMessage answer = caller.call("GET", "/x", "", "");

      assertThat(answer.status()).isEqualTo(302);
      assertThat(answer.header("content-encoding")).isEqualTo("gzip");
      assertThat(answer.header("set-cookie")).isEqualTo("a=b");
      assertThat(answer.header("keep-alive")).isEmpty();
      assertThat(answer.header("x-hop")).isEmpty();
      assertThat(answer.text()).isEqualTo("raw");
      RawHttpMessage first = server.requests().get(0);
      assertThat(first.startLine()).isEqualTo("GET /a%20b/%7Ec?q=%2F&q HTTP/1.1");
      assertThat(first.header("x-mine")).isEmpty();
      assertThat(first.header("via")).isEqualTo("1.1 wagtailpin");
      assertThat(first.header("x-forwarded-for")).isEqualTo("127.0.0.1");
      for (String added : new String[] {"cookie", "user-agent", "accept", "accept-encoding"}) {
        assertThat(server.requests().get(1).header(added)).isEmpty();
      }
    }
  }

  /** A server that rejects a request at first, and repeats that answer before a later request. */
  private static RawServer.Script rejectsOnceAndRepeatsItsAnswer() {
    Map<RawServer.Connection, String> repeated = new ConcurrentHashMap<>();
    return (request, to) -> {
      String id = "Wagtailpin-Request-Id: " + request.header("wagtailpin-request-id") + "\r\n";
      String earlier = repeated.remove(to);
      if (earlier != null) {
        to.send(earlier);
      }
      if (request.text().equals("run") || earlier != null) {
        to.send("HTTP/1.1 200 OK\r\n" + id + "Content-Length: 3\r\n\r\nran");
        return true;
      }
      String rejection =
          "HTTP/1.1 503 Full\r\nWagtailpin-Refused: not-run\r\n" + id + "Content-Length: 0\r\n\r\n";
      to.send(rejection);
      repeated.put(to, rejection);
      return true;
    };
  }

  // Guards against "not run" for a request that ran: a repeated rejection was taken for the answer
  // to the next sending of the same request on the same connection.
  @Test
  void aRepeatedRejectionIsNotTakenForTheAnswerToTheNextSending() throws Exception {
    AtomicInteger sendings = new AtomicInteger();
    RawServer.Script rejecting = rejectsOnceAndRepeatsItsAnswer();
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  sendings.incrementAndGet();
                  return rejecting.serve(request, to);
                });
        // Two servers with one address share their connections.
        TestEntry entry =
            new TestEntry.Builder()
                .server(server.port())
                .server(server.port())
                .sharesIdentifierAmongAttempts()
                .echoes()
                .start()) {
      RawHttpMessage answer = entry.call("POST", "", "order");

      // Each sending came on a connection of its own, and the server rejected both.
      assertThat(sendings.get()).isEqualTo(2);
      assertThat(server.connections()).isEqualTo(2);
      assertThat(answer.status()).isEqualTo(503);
    }
  }

  @Test
  void aRepeatedRejectionIsSkippedBeforeTheAnswerToAnotherRequest() throws Exception {
    try (RawServer server = new RawServer(rejectsOnceAndRepeatsItsAnswer());
        TestEntry entry =
            new TestEntry.Builder()
                .server(server.port())
                .sharesIdentifierAmongAttempts()
                .echoes()
                .start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", "", "order").status()).isEqualTo(503);
      assertThat(caller.call("POST", "/x", "", "run").text()).isEqualTo("ran");

      assertThat(server.connections()).isEqualTo(1);
      assertThat(entry.backend().staleAnswers()).isEqualTo(1);
    }
  }

  private static String loadReport(String header, int inFlight) {
    return "HTTP/1.1 200 OK\r\n"
        + header
        + "Wagtailpin-Load: inflight=%d, queued=0\r\n".formatted(inFlight)
        + "Content-Length: 0\r\n\r\n";
  }

  @Test
  void aRepeatedAnswerIsNotTakenForTheAnswerToAProbe() throws Exception {
    EventLoopGroup loops = EventLoops.createAffine(1, "test-probe");
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  if (request.startLine().startsWith("GET /health")) {
                    to.send(loadReport("Wagtailpin-Attempt: earlier.1\r\n", 9));
                    to.send(loadReport("", 3));
                    return true;
                  }
                  return to.answer(request, "", "whole");
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start()) {
      assertThat(entry.call("POST", "", "order").text()).isEqualTo("whole");
      CompletableFuture<ProbeAnswer> answer = new CompletableFuture<>();
      new BackendLoadProbe(entry.backend(), loops, HttpDialect.standard(), 2_000)
          .probe(
              new ConfigServer("s1", "127.0.0.1", server.port(), "r", "d", 6, 100, false),
              "/health",
              answer::complete);

      assertThat(answer.get(4, TimeUnit.SECONDS).load().orElseThrow().inFlight()).isEqualTo(3);
      assertThat(server.connections()).isEqualTo(1);
    } finally {
      loops.shutdownGracefully();
    }
  }
}
