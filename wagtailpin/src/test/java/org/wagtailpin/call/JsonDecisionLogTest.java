package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;

class JsonDecisionLogTest {

  private static Decision decision(String request) {
    return new Decision(request, "work", "all", "s1", 1, "unknown", 0, "reset \"by peer\"", 1.5);
  }

  @Test
  void aDecisionBecomesOneJsonLine() {
    List<String> lines = new CopyOnWriteArrayList<>();
    try (JsonDecisionLog log = new JsonDecisionLog(10, new ManualClock(7), lines::add)) {
      log.decided(decision("r1"));
    }

    assertThat(lines).hasSize(1);
    assertThat(lines.get(0)).startsWith("{\"time\":7,");
    assertThat(lines.get(0)).contains("\"request\":\"r1\"");
    assertThat(lines.get(0)).contains("reset \\\"by peer\\\"");
    assertThat(lines.get(0)).doesNotContain("\n");
  }

  @Test
  void aFullQueueDropsAndCountsAndNeverBlocks() throws Exception {
    List<String> lines = new CopyOnWriteArrayList<>();
    CountDownLatch writing = new CountDownLatch(1);
    CountDownLatch mayWrite = new CountDownLatch(1);
    JsonDecisionLog log =
        new JsonDecisionLog(
            2,
            new ManualClock(0),
            line -> {
              writing.countDown();
              await(mayWrite);
              lines.add(line);
            });
    log.decided(decision("r0"));
    writing.await();
    for (int i = 1; i <= 5; i++) {
      log.decided(decision("r" + i));
    }

    assertThat(log.dropped()).isEqualTo(3);
    mayWrite.countDown();
    log.close();
    assertThat(lines).hasSize(3);
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
