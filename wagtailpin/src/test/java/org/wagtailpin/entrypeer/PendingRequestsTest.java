package org.wagtailpin.entrypeer;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.control.ScheduledTask;

class PendingRequestsTest {

  private static final long TIMEOUT_MILLIS = 100;

  private final ManualControlLoop loop = new ManualControlLoop(new ManualClock(1_000));

  /** A loop on which each scheduled task is due before the scheduling thread goes on. */
  private static final class HastyLoop implements ControlLoop {
    @Override
    public void execute(Runnable task) {
      task.run();
    }

    @Override
    public ScheduledTask schedule(long delayMillis, Runnable task) {
      task.run();
      return () -> {};
    }
  }

  // Guards against a request that never ends, as its timeout came before it was added.
  @Test
  void aTimeoutThatIsDueWhileTheRequestIsAddedEndsIt() {
    PendingRequests requests = new PendingRequests(new HastyLoop());

    CompletableFuture<PeerReply> reply = requests.add(requests.nextId(), "b", TIMEOUT_MILLIS);

    assertThat(reply.isDone()).isTrue();
    assertThat(reply.join()).isInstanceOf(PeerReply.NoAnswer.class);
  }

  @Test
  void aRequestWithoutAnswerEndsWithItsTimeout() {
    PendingRequests requests = new PendingRequests(loop);
    long id = requests.nextId();

    CompletableFuture<PeerReply> reply = requests.add(id, "b", TIMEOUT_MILLIS);
    loop.advance(TIMEOUT_MILLIS - 1);
    assertThat(reply.isDone()).isFalse();
    loop.advance(1);

    assertThat(reply.join()).isInstanceOf(PeerReply.NoAnswer.class);
    assertThat(requests.contains(id)).isFalse();
  }
}
