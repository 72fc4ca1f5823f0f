package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtailpin.backend.BackendClient;
import org.wagtailpin.backend.BackendLoadProbe;
import org.wagtailpin.backend.BackendSettings;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.routing.ProbeAnswer;
import org.wagtailpin.transport.EventLoops;
import org.wagtailpin.transport.HttpDialect;

/** Tests that an answer whose status code HTTP doesn't define is never taken for an answer. */
class InvalidStatusTest {

  private static final List<String> INVALID =
      List.of("000", "099", "20", "600", "999", "0200", "2000", "+20", "+200", "-20", "2x0", "0");

  private static final String REST =
      " Status\r\nWagtailpin-Load: inflight=5, queued=7\r\nContent-Length: 4\r\n\r\nbody";

  private static RawServer serverAnswering(String status) throws Exception {
    return new RawServer(
        (request, to) -> {
          to.send("HTTP/1.1 " + status + REST);
          return true;
        });
  }

  // Guards against 600 to 999, which were passed on: the decoder required three digits only.
  @Test
  void anAnswerWithAnInvalidStatusIsNotPassedOn() throws Exception {
    for (String status : INVALID) {
      try (RawServer server = serverAnswering(status);
          TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
        assertWithMessage(status).that(entry.call("POST", "", "order").status()).isEqualTo(502);
      }
    }
  }

  @Test
  void aRepeatableRequestIsSentToAnotherServerAfterAnInvalidStatus() throws Exception {
    try (RawServer invalid = serverAnswering("600");
        RawServer valid = serverAnswering("200");
        TestEntry entry =
            new TestEntry.Builder().server(invalid.port()).server(valid.port()).start()) {
      assertThat(entry.call("GET", "", "").status()).isEqualTo(200);
    }
  }

  @Test
  void theEndsOfTheValidRangeArePassedOn() throws Exception {
    for (String status : List.of("200", "599")) {
      try (RawServer server = serverAnswering(status);
          TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
        assertThat(entry.call("POST", "", "order").status()).isEqualTo(Integer.parseInt(status));
      }
    }
  }

  private static ProbeAnswer probe(RawServer server) throws Exception {
    EventLoopGroup loops = EventLoops.createAffine(1, "test-probe");
    SystemClock clock = new SystemClock();
    try (BackendClient client =
        new BackendClient(BackendSettings.defaults(), loops, name -> 1, clock)) {
      CompletableFuture<ProbeAnswer> answer = new CompletableFuture<>();
      new BackendLoadProbe(client, loops, HttpDialect.standard(), 10_000)
          .probe(
              new ConfigServer("s1", "127.0.0.1", server.port(), "r", "d", 6, 100, false),
              "/health",
              answer::complete);
      return answer.get();
    } finally {
      loops.shutdownGracefully();
    }
  }

  // Guards against a load report taken from bytes that are no answer.
  @Test
  void aProbeAnsweredWithAnInvalidStatusReportsNothing() throws Exception {
    for (String status : INVALID) {
      try (RawServer server = serverAnswering(status)) {
        assertWithMessage(status).that(probe(server)).isEqualTo(ProbeAnswer.none());
      }
    }
    try (RawServer server = serverAnswering("200")) {
      assertThat(probe(server).load()).isPresent();
    }
  }
}
