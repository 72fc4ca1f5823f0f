package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;

class WritePaceTest {

  private static final long INTERVAL_MILLIS = 80;

  private final ManualClock clock = new ManualClock(1_000);
  private final WritePace pace = new WritePace(clock, INTERVAL_MILLIS);

  @Test
  void aFewBatchesGoAtOnceAndThenOneAnInterval() {
    assertThat(batchesWithin(1)).isEqualTo(4);
    assertThat(batchesWithin(100 * INTERVAL_MILLIS)).isEqualTo(100);
  }

  @Test
  void noBatchGoesWhileThePaceIsHeld() {
    pace.hold(500);
    assertThat(pace.waitMillis()).isEqualTo(500);
    clock.advance(500);
    assertThat(pace.waitMillis()).isAtMost(0);
  }

  private int batchesWithin(long millis) {
    int batches = 0;
    for (long i = 0; i < millis; i++) {
      while (pace.waitMillis() <= 0) {
        pace.countBatch();
        batches++;
      }
      clock.advance(1);
    }
    return batches;
  }
}
