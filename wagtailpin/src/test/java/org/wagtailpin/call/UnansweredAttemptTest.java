package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.wagtailpin.routing.AttemptOutcome;

/** Tests requests that a server leaves unanswered while it goes on to answer others. */
class UnansweredAttemptTest {

  private static final double SILENCE_MILLIS = 40;

  /** Returns a server that reads requests and answers none until the latch is released. */
  private static RawServer ignoringServer(CountDownLatch released) throws IOException {
    return new RawServer(
        (request, to) -> {
          try {
            released.await();
          } catch (InterruptedException e) {
            throw new IOException(e);
          }
          return to.answer(request, "", "late");
        });
  }

  private static RawServer answeringServer() throws IOException {
    return new RawServer((request, to) -> to.answer(request, "", "other"));
  }

  private static TestEntry entry(RawServer... servers) throws IOException {
    TestEntry.Builder builder = new TestEntry.Builder();
    for (RawServer server : servers) {
      builder.server(server.port());
    }
    TestEntry entry = builder.start();
    entry.placement().silenceMillis(SILENCE_MILLIS);
    return entry;
  }

  // Guards against a wait until the deadline for an answer that never comes.
  @Test
  void aRepeatableRequestIsSentToAnotherServerAndItsConnectionIsNotUsedAgain() throws Exception {
    CountDownLatch released = new CountDownLatch(1);
    try (RawServer ignoring = ignoringServer(released);
        RawServer answering = answeringServer();
        TestEntry entry = entry(ignoring, answering)) {
      assertThat(entry.call("GET", "", "").text()).isEqualTo("other");
      assertThat(entry.call("GET", "", "").text()).isEqualTo("other");

      assertThat(ignoring.connections()).isEqualTo(2);
      assertThat(entry.placement().unansweredServers()).containsExactly("s1", "s1");
      assertThat(entry.placement().reports().get(0).outcome())
          .isInstanceOf(AttemptOutcome.Unknown.class);
      released.countDown();
    }
  }

  // Guards against work that may not be repeated being given up while its server still runs it.
  @Test
  void aRequestThatMayNotBeRepeatedGoesOnAndGetsItsLateAnswer() throws Exception {
    CountDownLatch released = new CountDownLatch(1);
    try (RawServer ignoring = ignoringServer(released);
        RawServer answering = answeringServer();
        TestEntry entry = entry(ignoring, answering)) {
      entry.placement().whenUnanswered(released::countDown);

      assertThat(entry.call("POST", "", "order").text()).isEqualTo("late");
      assertThat(answering.requests()).isEmpty();
    }
  }

  @Test
  void aRepeatableRequestForWhichNoServerIsLeftGoesOnToo() throws Exception {
    CountDownLatch released = new CountDownLatch(1);
    try (RawServer ignoring = ignoringServer(released);
        RawServer alsoIgnoring = ignoringServer(released);
        TestEntry entry = entry(ignoring, alsoIgnoring)) {
      entry
          .placement()
          .whenUnanswered(
              () -> {
                if (entry.placement().unansweredServers().contains("s2")) {
                  released.countDown();
                }
              });

      assertThat(entry.call("GET", "", "").status()).isEqualTo(200);
    }
  }
}
