package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

class OutcomeTest {

  private static int portThatNobodyListensOn() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  @Test
  void aGoodAnswerIsPassedOnWhole() throws Exception {
    try (RawServer server =
            new RawServer((request, to) -> to.answer(request, "X-Own: 1\r\n", "hello"));
        TestEntry entry = new TestEntry.Builder().server(server.port()).start()) {
      HttpText answer = entry.call("POST", "X-Mine: 2\r\n", "question");

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
  void aServerThatReadsAPostAndDropsGetsItExactlyOnceAndTheCallerReadsUnknown() throws Exception {
    try (RawServer first = new RawServer((request, to) -> to.reset());
        RawServer second = new RawServer((request, to) -> to.answer(request, "", "other"));
        TestEntry entry =
            new TestEntry.Builder().server(first.port()).server(second.port()).start()) {
      HttpText answer = entry.call("POST", "", "order");

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
  void aGetIsRepeatedOnAnotherServerAfterADrop() throws Exception {
    try (RawServer first = new RawServer((request, to) -> to.reset());
        RawServer second = new RawServer((request, to) -> to.answer(request, "", "other"));
        TestEntry entry =
            new TestEntry.Builder().server(first.port()).server(second.port()).start()) {
      assertThat(entry.call("GET", "", "").text()).isEqualTo("other");
    }
  }

  @Test
  void aPostGoesToAnotherServerIfTheFirstIsNotListening() throws Exception {
    try (RawServer second = new RawServer((request, to) -> to.answer(request, "", "other"));
        TestEntry entry =
            new TestEntry.Builder()
                .server(portThatNobodyListensOn())
                .server(second.port())
                .start()) {
      assertThat(entry.call("POST", "", "order").text()).isEqualTo("other");
      assertThat(second.requests()).hasSize(1);
    }
  }

  @Test
  void aPostIsToldAsNotRunIfNoServerListens() throws Exception {
    try (TestEntry entry = new TestEntry.Builder().server(portThatNobodyListensOn()).start()) {
      HttpText answer = entry.call("POST", "", "order");

      assertThat(answer.status()).isEqualTo(503);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("not-run");
    }
  }
}
