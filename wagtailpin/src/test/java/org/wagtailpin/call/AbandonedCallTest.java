package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Plays servers that answer a call late, twice, after it was abandoned. */
class AbandonedCallTest {

  private static final long LIMIT_SECONDS = 8;

  /** A server whose answers to the path /late wait for a signal. */
  private static final class LateServer implements AutoCloseable {
    private final CountDownLatch arrived = new CountDownLatch(1);
    private final CountDownLatch mayAnswer = new CountDownLatch(1);
    private final CountDownLatch lateAnswered = new CountDownLatch(1);
    private final RawServer server = new RawServer(this::serve);

    LateServer() throws IOException {}

    private boolean serve(RawHttpMessage request, RawServer.Connection to) throws IOException {
      if (!request.startLine().contains("/late")) {
        return to.answer(request, "", request.text());
      }
      arrived.countDown();
      await(mayAnswer);
      try {
        to.answer(request, "", "late");
        return to.answer(request, "", "late");
      } finally {
        lateAnswered.countDown();
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      assertThat(latch.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static void assertNextCallGetsItsOwnAnswer(LateServer late, TestEntry entry)
      throws IOException {
    late.mayAnswer.countDown();
    await(late.lateAnswered);
    assertThat(entry.call("POST", "", "own").text()).isEqualTo("own");
    assertThat(late.server.connections()).isEqualTo(2);
  }

  @Test
  void theLateAnswerToACallWhoseCallerLeftReachesNoOther() throws Exception {
    try (LateServer late = new LateServer();
        TestEntry entry = new TestEntry.Builder().server(late.server.port()).echoes().start()) {
      assertThat(entry.call("POST", "", "first").text()).isEqualTo("first");
      try (RawCaller caller = entry.caller()) {
        caller.send("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
        await(late.arrived);
      }
      Polling.until(() -> entry.backend().openConnections() == 0);

      assertNextCallGetsItsOwnAnswer(late, entry);
    }
  }

  @Test
  void theLateAnswerToACallWhoseDeadlinePassedReachesNoOther() throws Exception {
    try (LateServer late = new LateServer();
        TestEntry entry =
            new TestEntry.Builder()
                .server(late.server.port())
                .echoes()
                .deadlineMillis(2_000)
                .start();
        RawCaller caller = entry.caller()) {
      assertThat(entry.call("POST", "", "first").text()).isEqualTo("first");
      assertThat(caller.call("POST", "/late", "", "x").status()).isEqualTo(504);
      Polling.until(() -> entry.backend().openConnections() == 0);

      assertNextCallGetsItsOwnAnswer(late, entry);
    }
  }

  @Test
  void theAnswerOfASecondServerIsNotMixedWithThatOfTheFirst() throws Exception {
    try (RawServer first =
            new RawServer(
                (request, to) -> {
                  to.answer(request, "X-Mark: first\r\nX-First: 1\r\n", "first".repeat(2));
                  return true;
                });
        RawServer broken =
            new RawServer(
                (request, to) -> {
                  to.send(
                      "HTTP/1.1 200 OK\r\nX-Mark: broken\r\nX-Broken: 1\r\nWagtailpin-Attempt: "
                          + request.header("wagtailpin-attempt")
                          + "\r\nContent-Length: 100\r\n\r\nbroken");
                  return false;
                });
        TestEntry entry =
            new TestEntry.Builder()
                .server(broken.port())
                .server(first.port())
                .echoes()
                .buffersAnswers()
                .start()) {
      for (int i = 0; i < 20; i++) {
        RawHttpMessage answer = entry.call("GET", "", "");
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.header("x-mark")).isEqualTo("first");
        assertThat(answer.header("x-broken")).isEmpty();
        assertThat(answer.text()).isEqualTo("firstfirst");
      }
    }
  }
}
