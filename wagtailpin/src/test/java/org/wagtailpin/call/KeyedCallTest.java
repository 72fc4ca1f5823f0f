package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wagtailpin.claims.ClaimSettlement;
import org.wagtailpin.config.IdempotencyKeyRule;

/** Tests calls with an idempotency key: claim, replay, refusal and settlement. */
class KeyedCallTest {

  private static final String KEY = "Idempotency-Key: k1\r\n";

  private static TestEntry entry(RawServer server) throws Exception {
    return new TestEntry.Builder()
        .server(server.port())
        .keyRule(IdempotencyKeyRule.REQUIRED)
        .start();
  }

  private static RawServer answering() throws Exception {
    return new RawServer((request, to) -> to.answer(request, "X-Own: 1\r\n", "done"));
  }

  @Test
  void aRequestWithoutARequiredKeyIsReportedAsNotRun() throws Exception {
    try (RawServer server = answering();
        TestEntry entry = entry(server)) {
      RawHttpMessage answer = entry.call("POST", "", "order");

      assertThat(answer.status()).isEqualTo(400);
      assertThat(answer.header("wagtailpin-outcome")).isEqualTo("not-run");
      assertThat(server.requests()).isEmpty();
    }
  }

  @Test
  void aRepeatedKeyIsAnsweredWithTheHeldAnswer() throws Exception {
    try (RawServer server = answering();
        TestEntry entry = entry(server)) {
      RawHttpMessage first = entry.call("POST", KEY, "order");
      RawHttpMessage second = entry.call("POST", KEY, "order");

      assertThat(first.header("wagtailpin-replayed")).isEmpty();
      assertThat(second.text()).isEqualTo("done");
      assertThat(second.header("x-own")).isEqualTo("1");
      assertThat(second.header("wagtailpin-replayed")).isEqualTo("true");
      assertThat(server.requests()).hasSize(1);
    }
  }

  @Test
  void theSameKeyForAnotherRequestIsRefused() throws Exception {
    try (RawServer server = answering();
        TestEntry entry = entry(server)) {
      entry.call("POST", KEY, "order");
      RawHttpMessage other = entry.call("POST", KEY, "another order");

      assertThat(other.status()).isEqualTo(422);
      assertThat(server.requests()).hasSize(1);
    }
  }

  @Test
  void aKeyWithAnUnknownOutcomeIsNotRunAgain() throws Exception {
    try (RawServer server = new RawServer((request, to) -> to.reset());
        TestEntry entry = entry(server)) {
      entry.call("POST", KEY, "order");
      RawHttpMessage second = entry.call("POST", KEY, "order");

      assertThat(second.status()).isEqualTo(409);
      assertThat(second.header("wagtailpin-outcome")).isEqualTo("unknown");
      assertThat(server.requests()).hasSize(1);
    }
  }

  @Test
  void theClaimIsSettledAsNotRunIfNoServerRanTheRequest() throws Exception {
    try (RawServer server = answering();
        TestEntry entry =
            new TestEntry.Builder()
                .server(server.port())
                .maxConnections(0)
                .keyRule(IdempotencyKeyRule.REQUIRED)
                .start()) {
      entry.call("POST", KEY, "order");

      assertThat(entry.claims().settlements()).containsExactly(new ClaimSettlement.NotRun());
    }
  }

  @Test
  void keyedWorkContinuesAfterItsCallerDisconnectsAndTheAnswerIsHeld() throws Exception {
    CountDownLatch mayAnswer = new CountDownLatch(1);
    try (RawServer server =
            new RawServer(
                (request, to) -> {
                  try {
                    mayAnswer.await(20, TimeUnit.SECONDS);
                  } catch (InterruptedException e) {
                    throw new IOException(e);
                  }
                  return to.answer(request, "", "done");
                });
        TestEntry entry = entry(server)) {
      try (RawCaller caller = entry.caller()) {
        caller.send("POST /x HTTP/1.1\r\nHost: a\r\n" + KEY + "Content-Length: 5\r\n\r\norder");
        Polling.until(() -> server.requests().size() == 1);
      }
      Polling.until(() -> entry.listener().openConnections() == 0);
      mayAnswer.countDown();
      Polling.until(() -> !entry.claims().settlements().isEmpty());

      assertThat(entry.call("POST", KEY, "order").text()).isEqualTo("done");
      assertThat(server.requests()).hasSize(1);
    }
  }
}
