package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.wagtailpin.backend.UnmatchedReason;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;

/** Tests what is recorded of input that matches no request. */
class UnmatchedAnswerEventsTest {

  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String FOREIGN =
      "HTTP/1.1 201 Created\r\nWagtailpin-Attempt: other.1\r\nContent-Length: 3\r\n\r\nBAD";

  private static String echo(RawHttpMessage request) {
    return "Wagtailpin-Attempt: " + request.header("wagtailpin-attempt") + "\r\n";
  }

  private static RawServer answering(String text) throws Exception {
    return new RawServer(
        (request, to) -> {
          to.send(text);
          return false;
        });
  }

  private static Event onlyEvent(TestEntry entry) throws Exception {
    Polling.until(() -> !entry.events().of(EventKind.ANSWER_UNMATCHED).isEmpty());
    List<Event> events = entry.events().of(EventKind.ANSWER_UNMATCHED);
    assertThat(events).hasSize(1);
    return events.get(0);
  }

  private static Object field(Event event, String name) {
    return event.value(name).orElse("none");
  }

  private static void assertOnlyCounted(TestEntry entry, UnmatchedReason counted) {
    for (UnmatchedReason reason : UnmatchedReason.values()) {
      assertThat(entry.backend().unmatchedAnswers(reason)).isEqualTo(reason == counted ? 1 : 0);
    }
  }

  @Test
  void aStaleAnswerIsRecordedWithTheRequestThatAwaitedAnotherOne() throws Exception {
    AtomicReference<String> first = new AtomicReference<>("");
    AtomicReference<String> second = new AtomicReference<>("");
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  String own = OK + echo(request) + "Content-Length: 0\r\n\r\n";
                  if (first.get().isEmpty()) {
                    first.set(request.header("wagtailpin-attempt"));
                  } else {
                    second.set(request.header("wagtailpin-attempt"));
                    to.send(FOREIGN);
                  }
                  to.send(own);
                  return true;
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start();
        RawCaller caller = entry.caller()) {
      assertThat(caller.call("POST", "/x", "", "one").status()).isEqualTo(200);
      assertThat(caller.call("POST", "/x", "", "two").status()).isEqualTo(200);

      Event event = onlyEvent(entry);
      assertThat(field(event, "server")).isEqualTo("s1");
      assertThat(field(event, "reason")).isEqualTo("stale");
      assertThat(field(event, "awaiting")).isEqualTo(true);
      assertThat(field(event, "identifier")).isEqualTo(second.get());
      assertThat(field(event, "before")).isEqualTo(first.get());
      assertThat(field(event, "method")).isEqualTo("POST");
      assertThat(field(event, "received")).isEqualTo("other.1");
      assertThat(field(event, "status")).isEqualTo(201);
      assertThat(field(event, "carried")).isEqualTo(2L);
      assertThat(event.value("idleMillis")).isEqualTo(Optional.empty());
      assertOnlyCounted(entry, UnmatchedReason.STALE);
    }
  }

  @Test
  void anAnswerWithAForeignIdentifierOnANewConnectionIsRecorded() throws Exception {
    try (RawServer server = answering(FOREIGN);
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start()) {
      assertThat(entry.call("POST", "", "order").status()).isEqualTo(502);

      Event event = onlyEvent(entry);
      assertThat(field(event, "reason")).isEqualTo("foreign-identifier");
      assertThat(field(event, "received")).isEqualTo("other.1");
      assertThat(field(event, "carried")).isEqualTo(1L);
      assertOnlyCounted(entry, UnmatchedReason.FOREIGN_IDENTIFIER);
    }
  }

  @Test
  void anAnswerWithoutAnIdentifierIsRecordedIfTheServiceRepeatsIt() throws Exception {
    try (RawServer server = answering(OK + "Content-Length: 3\r\n\r\nBAD");
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start()) {
      assertThat(entry.call("POST", "", "order").status()).isEqualTo(502);

      Event event = onlyEvent(entry);
      assertThat(field(event, "reason")).isEqualTo("no-identifier");
      assertThat(field(event, "received")).isEqualTo("");
      assertThat(field(event, "status")).isEqualTo(200);
      assertOnlyCounted(entry, UnmatchedReason.NO_IDENTIFIER);
    }
  }

  @Test
  void anAnswerOnAnIdleConnectionIsRecordedWithItsIdentifier() throws Exception {
    AtomicReference<RawServer.Connection> connection = new AtomicReference<>();
    AtomicReference<String> identifier = new AtomicReference<>("");
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  connection.set(to);
                  identifier.set(request.header("wagtailpin-attempt"));
                  to.send(OK + echo(request) + "Content-Length: 0\r\n\r\n");
                  return true;
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start()) {
      assertThat(entry.call("POST", "", "order").status()).isEqualTo(200);
      connection.get().send(FOREIGN);

      Event event = onlyEvent(entry);
      assertThat(field(event, "reason")).isEqualTo("unsolicited");
      assertThat(field(event, "awaiting")).isEqualTo(false);
      assertThat(field(event, "identifier")).isEqualTo(identifier.get());
      assertThat(field(event, "received")).isEqualTo("other.1");
      assertThat(field(event, "status")).isEqualTo(201);
      assertThat((Long) field(event, "idleMillis")).isAtLeast(0L);
      assertOnlyCounted(entry, UnmatchedReason.UNSOLICITED);
    }
  }

  @Test
  void anAnswerRightAfterTheOneThatWasDueIsRecordedAsUnsolicited() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.send(OK + echo(request) + "Content-Length: 0\r\n\r\n" + FOREIGN);
                  return true;
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start()) {
      assertThat(entry.call("POST", "", "order").status()).isEqualTo(200);

      Event event = onlyEvent(entry);
      assertThat(field(event, "reason")).isEqualTo("unsolicited");
      assertThat(field(event, "received")).isEqualTo("other.1");
      assertThat(field(event, "status")).isEqualTo(201);
    }
  }

  @Test
  void inputThatIsNoAnswerIsRecordedAsMalformed() throws Exception {
    try (RawServer server = answering("BAD\r\n\r\n");
        TestEntry entry = new TestEntry.Builder().server(server.port()).echoes().start()) {
      assertThat(entry.call("POST", "", "order").status()).isEqualTo(502);

      assertThat(field(onlyEvent(entry), "reason")).isEqualTo("malformed");
      assertOnlyCounted(entry, UnmatchedReason.MALFORMED);
    }
  }
}
