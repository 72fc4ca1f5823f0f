package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;

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
}
