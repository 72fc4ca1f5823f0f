package org.wagtailpin.caller;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.wagtailpin.call.RawCaller;
import org.wagtailpin.call.RawHttpMessage;
import org.wagtailpin.call.RawServer;
import org.wagtailpin.call.TestEntry;

/** Plays callers that send several requests in one packet. */
class PipeliningTest {

  private static final int QUIET_MILLIS = 200;
  private static final long DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private static String request(String method, String path, String headers, String body) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: a\r\n"
        + headers
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String post(String path) {
    return request("POST", path, "", path);
  }

  private static String pathOf(RawHttpMessage request) {
    return request.startLine().split(" ", -1)[1];
  }

  /** A server that answers with the path of the request, or as the path tells it to. */
  private static boolean serve(RawHttpMessage request, RawServer.Connection to) throws IOException {
    String path = pathOf(request);
    if (path.startsWith("/reset")) {
      return to.reset();
    }
    if (path.startsWith("/part")) {
      to.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
      return false;
    }
    if (path.startsWith("/slow")) {
      LockSupport.parkNanos(DELAY_NANOS);
    }
    if (path.startsWith("/chunks")) {
      String start = Integer.toHexString(path.length()) + "\r\n" + path + "\r\n";
      to.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start);
      LockSupport.parkNanos(DELAY_NANOS);
      to.send("0\r\n\r\n");
      return true;
    }
    if (request.startLine().startsWith("HEAD ")) {
      to.send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
      return true;
    }
    return to.answer(request, "", path);
  }

  private static void assertQuiet(RawCaller caller) throws IOException {
    caller.socket().setSoTimeout(QUIET_MILLIS);
    try {
      assertThat(caller.socket().getInputStream().read()).isEqualTo(-1);
    } catch (SocketTimeoutException e) {
      // Nothing came, as is right.
    }
  }

  /** Sends requests in one packet, and returns the caller's connection. */
  private static RawCaller send(TestEntry entry, String... requests) throws IOException {
    RawCaller caller = entry.caller();
    caller.send(String.join("", requests));
    return caller;
  }

  private interface Check {
    void run(RawCaller caller) throws IOException;
  }

  private static void check(Check check, String... requests) throws Exception {
    try (RawServer server = new RawServer(PipeliningTest::serve);
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = send(entry, requests)) {
      check.run(caller);
      assertQuiet(caller);
    }
  }

  private static void assertAnswers(RawCaller caller, String... paths) throws IOException {
    for (String path : paths) {
      RawHttpMessage answer = caller.read();
      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.text()).isEqualTo(path);
    }
  }

  @Test
  void answersComeInTheOrderOfTheRequests() throws Exception {
    check(
        caller -> assertAnswers(caller, "/slow/1", "/2", "/chunks/3", "/4"),
        post("/slow/1"),
        post("/2"),
        post("/chunks/3"),
        post("/4"));
  }

  @Test
  void aFailedRequestIsAnsweredInItsPlace() throws Exception {
    check(
        caller -> {
          assertAnswers(caller, "/slow/1");
          assertThat(caller.read().status()).isEqualTo(502);
          assertAnswers(caller, "/3");
        },
        post("/slow/1"),
        post("/reset"),
        post("/3"));
  }

  @Test
  void nothingFollowsAnAnswerThatBreaksOff() throws Exception {
    try (RawServer server = new RawServer(PipeliningTest::serve);
        TestEntry entry = new TestEntry.Builder().server(server.port()).start();
        RawCaller caller = send(entry, post("/part"), post("/2"))) {
      byte[] received = new byte[0];
      try {
        received = caller.socket().getInputStream().readAllBytes();
      } catch (IOException e) {
        // The connection was reset, as is right.
      }
      assertThat(new String(received, java.nio.charset.StandardCharsets.ISO_8859_1))
          .doesNotContain("/2");
    }
  }

  @Test
  void nothingFollowsTheAnswerToARequestThatClosesTheConnection() throws Exception {
    check(
        caller -> {
          assertAnswers(caller, "/slow/1");
          assertThat(caller.atEnd()).isTrue();
        },
        request("POST", "/slow/1", "Connection: close\r\n", "x"),
        post("/2"));
  }

  @Test
  void anAnswerToHeadHasNoBodyBetweenOthers() throws Exception {
    check(
        caller -> {
          assertAnswers(caller, "/1");
          RawHttpMessage head = RawHttpMessage.readAnswerToHead(caller.socket().getInputStream());
          assertThat(head.header("content-length")).isEqualTo("500");
          assertAnswers(caller, "/3");
        },
        post("/1"),
        "HEAD /2 HTTP/1.1\r\nHost: a\r\n\r\n",
        post("/3"));
  }

  @Test
  void aRequestThatExpectsAnInterimAnswerGetsItBeforeItsOwn() throws Exception {
    check(
        caller -> {
          assertAnswers(caller, "/1");
          assertThat(caller.read().startLine()).isEqualTo("HTTP/1.1 100 Continue");
          assertAnswers(caller, "/2", "/3");
        },
        post("/1"),
        request("POST", "/2", "Expect: 100-continue\r\n", "/2"),
        post("/3"));
  }

  @Test
  void aMalformedRequestEndsTheConnectionAfterTheEarlierAnswers() throws Exception {
    check(
        caller -> {
          assertAnswers(caller, "/slow/1");
          assertThat(caller.read().status()).isEqualTo(400);
        },
        post("/slow/1"),
        "BAD\r\n\r\n",
        post("/3"));
  }

  @Test
  void aRequestCutWithinItsHeadOrBodyIsNotAnsweredWithASuccess() throws Exception {
    for (String cut :
        new String[] {
          "POST /2 HTTP/1.1\r\nHo",
          "POST /2 HTTP/1.1\r\nHost: a\r\n" + "Content-Length: 9\r\n\r\nbod"
        }) {
      check(caller -> assertAnswers(caller, "/slow/1"), post("/slow/1"), cut);
    }
  }
}
