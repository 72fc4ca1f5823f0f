package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;

class DispatchRecordsTest {

  private final ManualClock clock = new ManualClock(0);
  private final DispatchRecords records =
      new DispatchRecords(ClaimFixture.SETTINGS, clock, new ManualControlLoop(clock));

  @Test
  void theOldestAnswersAreEvictedFirstWhenTheMemoryIsFull() {
    finish("a", 600);
    finish("b", 600);

    assertThat(records.outcome("a", 0).join()).isInstanceOf(HeldOutcome.NotHeld.class);
    assertThat(records.outcome("b", 0).join()).isInstanceOf(HeldOutcome.Held.class);
    assertThat(records.heldBytes()).isEqualTo(600);
  }

  @Test
  void runningWorkIsNotEvicted() {
    records.start("running");
    clock.advance(2 * ClaimFixture.WINDOW_MILLIS);
    finish("b", 600);

    assertThat(records.outcome("running", 0).join()).isInstanceOf(HeldOutcome.Running.class);
  }

  @Test
  void theFirstOutcomeOfAnAttemptIsFinal() {
    records.start("a");
    records.finish("a", new HeldOutcome.NotRun());
    records.finish("a", new HeldOutcome.NotHeld());

    assertThat(records.outcome("a", 0).join()).isInstanceOf(HeldOutcome.NotRun.class);
  }

  private void finish(String attempt, int bodyBytes) {
    records.start(attempt);
    records.finish(
        attempt, new HeldOutcome.Held(new HeldAnswer(200, List.of(), new byte[bodyBytes])));
  }
}
