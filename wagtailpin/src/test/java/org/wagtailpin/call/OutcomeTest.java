package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;
import org.wagtailpin.eventlog.EventKind;

/** Tests which failed attempts are retried, and which outcome is reported to the caller. */
class OutcomeTest {

  private static int unusedPort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  @Test
  void aSuccessfulAnswerIsRelayedUnchanged() throws Exception {
    try (RawServer server =
            new RawServer((request, to) -> to.answer(request, "X-Own: 1\r\n", "hello"));
        TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
      RawHttpMessage answer = entry.call("POST", "X-Mine: 2\r\n", "question");

      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.text()).isEqualTo("hello");
      assertThat(answer.header("x-own")).isEqualTo("1");
      assertThat(answer.header("wagtailpin-attempt")).isEmpty();
      assertThat(server.requests().get(0).text()).isEqualTo("question");
      assertThat(server.requests().get(0).header("x-mine")).isEqualTo("2");
      assertThat(server.requests().get(0).header("host")).isEqualTo("a");
    }
  }

  @Test
  void aPostWhoseConnectionIsResetIsNotRetriedAndItsOutcomeIsUnknown() throws Exception {
    try (RawServer first = new RawServer((request, to) -> to.reset());
        RawServer second = new RawServer((request, to) -> to.answer(request, "", "other"));
        TestEntry entry =
            new TestEntry.Builder().server(first.port()).server(second.port()).start()) {
      RawHttpMessage answer = entry.call("POST", "", "order");

      assertThat(answer.status()).isEqualTo(502);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
      assertThat(answer.header("content-type")).isEqualTo("application/problem+json");
      assertThat(answer.text()).contains("\"peer\":\"backend-server\"");
      assertThat(answer.text()).contains("\"peerName\":\"s1\"");
      assertThat(first.requests()).hasSize(1);
      assertThat(second.requests()).isEmpty();
    }
  }

  @Test
  void aGetIsRetriedOnAnotherServerAfterAConnectionReset() throws Exception {
    try (RawServer first = new RawServer((request, to) -> to.reset());
        RawServer second = new RawServer((request, to) -> to.answer(request, "", "other"));
        TestEntry entry =
            new TestEntry.Builder().server(first.port()).server(second.port()).start()) {
      assertThat(entry.call("GET", "", "").text()).isEqualTo("other");
    }
  }

  @Test
  void aPostIsRetriedOnAnotherServerIfTheFirstIsNotListening() throws Exception {
    try (RawServer second = new RawServer((request, to) -> to.answer(request, "", "other"));
        TestEntry entry =
            new TestEntry.Builder().server(unusedPort()).server(second.port()).start()) {
      assertThat(entry.call("POST", "", "order").text()).isEqualTo("other");
      assertThat(second.requests()).hasSize(1);
    }
  }

  @Test
  void aPostIsReportedAsNotRunIfNoServerListens() throws Exception {
    try (TestEntry entry = new TestEntry.Builder().server(unusedPort()).start()) {
      RawHttpMessage answer = entry.call("POST", "", "order");

      assertThat(answer.status()).isEqualTo(503);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("not-run");
    }
  }

  private static boolean refuse(RawServer.Connection to) throws IOException {
    to.send("HTTP/1.1 503 Busy\r\nWagtailpin-Refused: not-run\r\nContent-Length: 2\r\n\r\nno");
    return true;
  }

  @Test
  void aPostIsRetriedOnAnotherServerAfterAnExplicitRefusal() throws Exception {
    try (RawServer first = new RawServer((request, to) -> refuse(to));
        RawServer second = new RawServer((request, to) -> to.answer(request, "", "other"));
        TestEntry entry =
            new TestEntry.Builder().server(first.port()).server(second.port()).start()) {
      assertThat(entry.call("POST", "", "order").text()).isEqualTo("other");
      assertThat(first.requests()).hasSize(1);
    }
  }

  @Test
  void aPostRefusedByAllServersIsReportedAsNotRun() throws Exception {
    try (RawServer first = new RawServer((request, to) -> refuse(to));
        TestEntry entry = new TestEntry.Builder().server(first.port()).start()) {
      RawHttpMessage answer = entry.call("POST", "", "order");

      assertThat(answer.status()).isEqualTo(503);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("not-run");
    }
  }

  @Test
  void a503WithoutTheRefusalHeaderIsRelayedAndThePostIsNotRetried() throws Exception {
    try (RawServer first =
            new RawServer(
                (request, to) -> {
                  to.send("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
                  return true;
                });
        RawServer second = new RawServer((request, to) -> to.answer(request, "", "other"));
        TestEntry entry =
            new TestEntry.Builder().server(first.port()).server(second.port()).start()) {
      RawHttpMessage answer = entry.call("POST", "", "order");

      assertThat(answer.status()).isEqualTo(503);
      assertThat(answer.text()).isEqualTo("busy");
      assertThat(answer.header("wagtailpin-outcome")).isEmpty();
      assertThat(second.requests()).isEmpty();
    }
  }

  @Test
  void anUnknownFirstAttemptStaysUnknownWhenTheSecondWasNotRun() throws Exception {
    try (RawServer first = new RawServer((request, to) -> to.reset());
        TestEntry entry =
            new TestEntry.Builder().server(first.port()).server(unusedPort()).start()) {
      RawHttpMessage answer = entry.call("GET", "", "");

      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
    }
  }

  @Test
  void aConnectionThatTheServerClosedWhileIdleIsNotReused() throws Exception {
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  to.answer(request, "", "once");
                  return false;
                });
        TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
      assertThat(entry.call("POST", "", "1").text()).isEqualTo("once");
      Polling.until(() -> entry.backend().openConnections() == 0);

      assertThat(entry.call("POST", "", "2").text()).isEqualTo("once");
      assertThat(server.connections()).isEqualTo(2);
    }
  }

  @Test
  void aRequestIsNotRunIfAllConnectionsAreInUse() throws Exception {
    try (RawServer server = new RawServer((request, to) -> to.answer(request, "", "x"));
        TestEntry entry = new TestEntry.Builder().server(server.port()).maxConnections(0).start()) {
      RawHttpMessage answer = entry.call("POST", "", "order");

      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("not-run");
      assertThat(answer.text()).contains("in use");
      assertThat(server.connections()).isEqualTo(0);
    }
  }

  @Test
  void eachAttemptIsReportedAndLoggedOnce() throws Exception {
    try (RawServer first = new RawServer((request, to) -> refuse(to));
        RawServer second =
            new RawServer(
                (request, to) ->
                    to.answer(request, "Wagtailpin-Load: inflight=3, queued=1\r\n", "other"));
        TestEntry entry =
            new TestEntry.Builder().server(first.port()).server(second.port()).start()) {
      entry.call("POST", "", "order");

      assertThat(
              entry.events().of(EventKind.ATTEMPT).stream()
                  .map(event -> event.value("outcome").orElseThrow())
                  .toList())
          .containsExactly("not-run", "answered")
          .inOrder();
      assertThat(entry.placement().reports()).hasSize(2);
      assertThat(entry.placement().reports().get(1).load().get().inFlight()).isEqualTo(3);
      assertThat(entry.metrics().calls("answered")).isEqualTo(1);
    }
  }
}
