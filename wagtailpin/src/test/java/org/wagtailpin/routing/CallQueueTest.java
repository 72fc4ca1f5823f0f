package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class CallQueueTest {

  // Guards against a service that serves nothing more after a lack of memory in one round.
  @Test
  void anErrorInOneRoundEndsNoLaterRound() {
    CallQueue queue = new CallQueue();
    int[] rounds = {0};

    queue.run(
        () -> {
          throw new LinkageError("test");
        });
    queue.run(() -> rounds[0]++);

    assertThat(rounds[0]).isEqualTo(1);
  }
}
