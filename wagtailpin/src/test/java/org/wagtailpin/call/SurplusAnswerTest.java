package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/**
 * Plays backend servers that answer a request twice: the second answer comes whole or in parts
 * before or after the next request on the connection, whose own answer is a failure.
 */
class SurplusAnswerTest {

  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  /** Longer than any answer below, so that all places in it are tried. */
  private static final int MAX_CUT = 200;

  private static final String FIRST = "first";
  private static final String DUE = "due";
  private static final String CUT = "x-cut";

  private static String answer(String status, RawHttpMessage request, String body) {
    return "HTTP/1.1 "
        + status
        + "\r\nContent-Type: text/plain\r\nX-Mark: "
        + body
        + "\r\nWagtailpin-Attempt: "
        + request.header("wagtailpin-attempt")
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String failure(RawHttpMessage request) {
    return answer("500 Failed", request, DUE);
  }

  /** A second answer in two parts. */
  private record Surplus(String start, String rest) {

    static Surplus to(RawHttpMessage request) {
      String whole = answer("200 OK", request, "surplus");
      int cut = Math.min(whole.length(), Integer.parseInt(request.header(CUT)));
      return new Surplus(whole.substring(0, cut), whole.substring(cut));
    }
  }

  /** Sends the parts of a second answer after the next request on its connection. */
  private interface Ending {
    void answer(RawHttpMessage request, RawServer.Connection to, Surplus surplus)
        throws IOException;
  }

  /**
   * Returns a server that answers the first request of a connection twice.
   *
   * @param early whether the start of the second answer comes in one packet with the first answer
   * @param ending sends the rest, and the answer to the second request
   */
  private static RawServer.Script answersTwice(boolean early, Ending ending) {
    Map<RawServer.Connection, Surplus> pending = new ConcurrentHashMap<>();
    return (request, to) -> {
      if (request.text().equals(FIRST)) {
        Surplus surplus = Surplus.to(request);
        pending.put(to, surplus);
        to.send(answer("200 OK", request, "one") + (early ? surplus.start() : ""));
        return true;
      }
      Surplus surplus = pending.remove(to);
      if (surplus == null) {
        to.send(failure(request));
      } else {
        ending.answer(request, to, surplus);
      }
      return true;
    };
  }

  private static void pause() {
    LockSupport.parkNanos(PAUSE_NANOS);
  }

  /** Receives the answers to pairs of calls of which the second one fails. */
  private interface Verdict {
    void check(String cut, RawHttpMessage answer);
  }

  /** Makes two calls on a connection of a caller for each place at which an answer can be cut. */
  private static void callWithAllCuts(RawServer.Script script, Verdict verdict) throws Exception {
    try (RawServer server = new RawServer(script);
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start();
        RawCaller caller = entry.caller()) {
      for (int cut = 1; cut <= MAX_CUT; cut++) {
        String header = CUT + ": " + cut + "\r\n";
        assertThat(caller.call("POST", "/x", header, FIRST).text()).isEqualTo("one");
        verdict.check("cut at " + cut, caller.call("POST", "/x", header, DUE));
      }
    }
  }

  private static void assertDue(String cut, RawHttpMessage answer) {
    assertWithMessage(cut).that(answer.status()).isEqualTo(500);
    assertWithMessage(cut).that(answer.header("x-mark")).isEqualTo(DUE);
    assertWithMessage(cut).that(answer.text()).isEqualTo(DUE);
  }

  private static void assertDueOrUnknown(String cut, RawHttpMessage answer) {
    if (answer.status() == 502) {
      assertWithMessage(cut).that(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
    } else {
      assertDue(cut, answer);
    }
  }

  // Guards against a success in place of a failure: the start of a second answer stayed in the
  // decoder and gave its status line to the answer to the next request on the connection.
  @Test
  void theStartOfASecondAnswerBesideTheFirstIsNotJoinedWithTheNextAnswer() throws Exception {
    callWithAllCuts(
        answersTwice(true, (request, to, surplus) -> to.send(failure(request))),
        SurplusAnswerTest::assertDue);
  }

  @Test
  void aSecondAnswerThatStartsBesideTheFirstAndEndsAfterTheNextRequestIsNotPassedOn()
      throws Exception {
    callWithAllCuts(
        answersTwice(
            true,
            (request, to, surplus) -> {
              to.send(surplus.rest());
              pause();
              to.send(failure(request));
            }),
        SurplusAnswerTest::assertDue);
  }

  @Test
  void aSecondAnswerInPiecesAfterTheNextRequestIsNotPassedOn() throws Exception {
    callWithAllCuts(
        answersTwice(
            false,
            (request, to, surplus) -> {
              to.send(surplus.start());
              pause();
              to.send(surplus.rest());
              pause();
              to.send(failure(request));
            }),
        SurplusAnswerTest::assertDue);
  }

  @Test
  void aSecondAnswerInOnePacketWithTheDueOneIsNotPassedOn() throws Exception {
    callWithAllCuts(
        answersTwice(
            false,
            (request, to, surplus) -> {
              to.send(surplus.start());
              pause();
              to.send(surplus.rest() + failure(request));
            }),
        SurplusAnswerTest::assertDue);
  }

  // Guards against a success in place of a failure: a second answer that broke off within its head
  // gave its status line to the answer that followed.
  @Test
  void aSecondAnswerThatBreaksOffIsNotJoinedWithTheDueOne() throws Exception {
    callWithAllCuts(
        answersTwice(false, (request, to, surplus) -> to.send(surplus.start() + failure(request))),
        SurplusAnswerTest::assertDueOrUnknown);
  }
}
