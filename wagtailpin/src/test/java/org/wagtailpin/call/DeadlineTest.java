package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.wagtailpin.routing.AttemptOutcome;

/** Tests deadlines, caller disconnects and the request headers that each listener trusts. */
class DeadlineTest {

  /** Starts a server that never answers and counts down when the entry closes the connection. */
  private static RawServer silentServer(CountDownLatch abandoned) throws IOException {
    return new RawServer(
        (request, to) -> {
          if (to.socket().getInputStream().read() < 0) {
            abandoned.countDown();
          }
          return false;
        });
  }

  @Test
  void aPostThatIsNotAnsweredInTimeIsUnknownAndItsConnectionIsClosed() throws Exception {
    CountDownLatch abandoned = new CountDownLatch(1);
    try (RawServer server = silentServer(abandoned);
        TestEntry entry =
            new TestEntry.Builder().server(server.port()).deadlineMillis(60).start()) {
      RawHttpMessage answer = entry.call("POST", "", "order");

      assertThat(answer.status()).isEqualTo(504);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("unknown");
      abandoned.await();
      assertThat(server.requests()).hasSize(1);
      assertThat(entry.placement().reports().get(0).outcome())
          .isInstanceOf(AttemptOutcome.Unknown.class);
    }
  }

  @Test
  void aDisconnectOfTheCallerCancelsTheWorkInFlight() throws Exception {
    CountDownLatch abandoned = new CountDownLatch(1);
    try (RawServer server = silentServer(abandoned);
        TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
      try (RawCaller caller = entry.caller()) {
        caller.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi");
        Polling.until(() -> server.requests().size() == 1);
      }
      abandoned.await();
      Polling.until(() -> entry.metrics().calls("left") == 1);

      assertThat(entry.metrics().attempts("cancelled")).isEqualTo(1);
    }
  }

  @Test
  void theServerReceivesTheRemainingMilliseconds() throws Exception {
    try (RawServer server = new RawServer((request, to) -> to.answer(request, "", "x"));
        TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
      entry.call("GET", "Wagtailpin-Timeout-Millis: 5000\r\n", "");
      entry.call("GET", "Wagtailpin-Timeout-Millis: 50000\r\n", "");

      long shorter = Long.parseLong(server.requests().get(0).header("wagtailpin-deadline-millis"));
      long ofRoute = Long.parseLong(server.requests().get(1).header("wagtailpin-deadline-millis"));
      assertThat(shorter).isAtMost(5000);
      assertThat(shorter).isAtLeast(1);
      assertThat(ofRoute).isAtMost(10_000);
      assertThat(ofRoute).isGreaterThan(5000);
    }
  }

  @Test
  void aRequestWhoseDeadlineHasPassedIsReportedAsNotRun() throws Exception {
    try (RawServer server = new RawServer((request, to) -> to.answer(request, "", "x"));
        TestEntry entry = new TestEntry.Builder().server(server.port()).internal().start()) {
      RawHttpMessage answer = entry.call("POST", "Wagtailpin-Deadline-Millis: 0\r\n", "order");

      assertThat(answer.status()).isEqualTo(504);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("not-run");
      assertThat(server.connections()).isEqualTo(0);
    }
  }

  private static RawHttpMessage requestAfter(TestEntry.Builder builder) throws Exception {
    try (RawServer server = new RawServer((request, to) -> to.answer(request, "", "x"));
        TestEntry entry = builder.server(server.port()).start()) {
      RawHttpMessage answer =
          entry.call(
              "GET",
              "Wagtailpin-Depth: 4\r\nWagtailpin-Caller-Group: port\r\nWagtailpin-Other: 1\r\n",
              "");
      assertThat(answer.status()).isEqualTo(200);
      return server.requests().get(0);
    }
  }

  @Test
  void theInternalListenerTrustsDepthAndCallerGroup() throws Exception {
    RawHttpMessage request = requestAfter(new TestEntry.Builder().internal());

    assertThat(request.header("wagtailpin-depth")).isEqualTo("5");
    assertThat(request.header("wagtailpin-caller-group")).isEqualTo("port");
  }

  @Test
  void thePublicListenerRemovesDepthAndCallerGroup() throws Exception {
    RawHttpMessage request = requestAfter(new TestEntry.Builder());

    assertThat(request.header("wagtailpin-depth")).isEqualTo("1");
    assertThat(request.header("wagtailpin-caller-group")).isEmpty();
    assertThat(request.header("wagtailpin-other")).isEmpty();
  }
}
