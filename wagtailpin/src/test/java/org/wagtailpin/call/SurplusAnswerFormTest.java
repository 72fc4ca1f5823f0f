package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;

/**
 * Plays backend servers whose second answer to a request has any form and comes at any place around
 * the next two requests on the connection.
 */
class SurplusAnswerFormTest {

  private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKS = "Transfer-Encoding: chunked\r\n\r\n7\r\nsurplus\r\n0\r\n";

  /** Where a second answer to the first of three requests comes. */
  private enum Place {
    BESIDE_FIRST,
    IDLE_BEFORE_DUE,
    BEFORE_DUE,
    BESIDE_DUE_AND_BEFORE,
    BESIDE_DUE_AND_AFTER,
    IDLE_AFTER_DUE,
    BEFORE_THIRD
  }

  /** Returns second answers; {@code %s} stands for the line with the identifier. */
  private static Map<String, String> forms() {
    Map<String, String> forms = new LinkedHashMap<>();
    forms.put("length", OK + "%sContent-Length: 7\r\n\r\nsurplus");
    forms.put("empty", OK + "%sContent-Length: 0\r\n\r\n");
    forms.put("chunks", OK + "%s" + CHUNKS + "\r\n");
    forms.put("trailers", OK + "%s" + CHUNKS + "X-Mark: surplus\r\n\r\n");
    forms.put("no content", "HTTP/1.1 204 No Content\r\n%s\r\n");
    forms.put("not modified", "HTTP/1.1 304 Not Modified\r\n%sContent-Length: 9\r\n\r\n");
    forms.put("interim", "HTTP/1.1 103 Early Hints\r\n\r\n" + OK + "%sContent-Length: 1\r\n\r\nx");
    forms.put("closing", OK + "%sConnection: close\r\nContent-Length: 7\r\n\r\nsurplus");
    forms.put("without length", OK + "%s\r\nsurplus");
    forms.put("first bytes", "HTT");
    forms.put("no answer", "\u0001\u0002 surplus\r\n\r\n");
    forms.put("empty lines", "\r\n\r\n");
    return forms;
  }

  private static String idLine(RawHttpMessage request) {
    return "Wagtailpin-Attempt: " + request.header("wagtailpin-attempt") + "\r\n";
  }

  private static String dueAnswer(RawHttpMessage request) {
    String body = request.text();
    String status = body.equals("due") ? "500 Failed" : "200 OK";
    String length = "Content-Length: " + body.length() + "\r\n\r\n";
    return "HTTP/1.1 " + status + "\r\n" + idLine(request) + length + body;
  }

  private static void pause() {
    LockSupport.parkNanos(PAUSE_NANOS);
  }

  /** A server that sends second answers of one form, at the place that each request states. */
  private static RawServer.Script answersTwice(String form) {
    Map<RawServer.Connection, String> surplusAnswers = new ConcurrentHashMap<>();
    return (request, to) -> {
      Place place = Place.valueOf(request.header("x-place"));
      String answer = dueAnswer(request);
      switch (request.text()) {
        case "first" -> {
          String surplus = form.replace("%s", idLine(request));
          surplusAnswers.put(to, surplus);
          to.send(place == Place.BESIDE_FIRST ? answer + surplus : answer);
          sendIf(place == Place.IDLE_BEFORE_DUE, to, surplus);
        }
        case "due" -> answerDue(place, to, surplusAnswers.getOrDefault(to, ""), answer);
        default -> {
          sendIf(place == Place.BEFORE_THIRD, to, surplusAnswers.getOrDefault(to, ""));
          to.send(answer);
        }
      }
      return true;
    };
  }

  private static void answerDue(Place place, RawServer.Connection to, String surplus, String answer)
      throws IOException {
    sendIf(place == Place.BEFORE_DUE, to, surplus);
    if (place == Place.BESIDE_DUE_AND_BEFORE) {
      to.send(surplus + answer);
    } else {
      to.send(place == Place.BESIDE_DUE_AND_AFTER ? answer + surplus : answer);
    }
    sendIf(place == Place.IDLE_AFTER_DUE, to, surplus);
  }

  private static void sendIf(boolean due, RawServer.Connection to, String text) throws IOException {
    if (due) {
      pause();
      to.send(text);
      pause();
    }
  }

  private static void callAndCheck(RawCaller caller, String form, Place place, String body)
      throws IOException {
    RawHttpMessage answer = caller.call("POST", "/x", "X-Place: " + place + "\r\n", body);
    String label = form + " " + place + " " + body;
    if (answer.header("wagtailpin-outcome").isEmpty()) {
      assertWithMessage(label).that(answer.status()).isEqualTo(body.equals("due") ? 500 : 200);
      assertWithMessage(label).that(answer.text()).isEqualTo(body);
      assertWithMessage(label).that(answer.header("x-mark")).isEmpty();
    } else {
      // The entry's own word that the call failed.
      assertWithMessage(label).that(answer.status()).isAnyOf(502, 503, 504);
    }
    if (place == Place.IDLE_BEFORE_DUE || place == Place.IDLE_AFTER_DUE) {
      pause();
      pause();
    }
  }

  private static void callWithAllFormsAndPlaces(boolean buffers) throws Exception {
    for (Map.Entry<String, String> form : forms().entrySet()) {
      TestEntry.Builder builder =
          new TestEntry.Builder().echoes().allowsUnframedAnswers().deadlineMillis(3_000);
      try (RawServer server = new RawServer(answersTwice(form.getValue()));
          TestEntry entry =
              (buffers ? builder.buffersAnswers() : builder).server(server.port()).start();
          RawCaller caller = entry.caller()) {
        for (Place place : Place.values()) {
          for (String body : new String[] {"first", "due", "third"}) {
            callAndCheck(caller, form.getKey(), place, body);
          }
        }
      }
    }
  }

  @Test
  void aSecondAnswerOfAnyFormAtAnyPlaceReachesNoCaller() throws Exception {
    callWithAllFormsAndPlaces(false);
  }

  @Test
  void aSecondAnswerOfAnyFormAtAnyPlaceReachesNoCallerIfAnswersAreHeld() throws Exception {
    callWithAllFormsAndPlaces(true);
  }
}
