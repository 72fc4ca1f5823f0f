package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;

class BatchRateLimiterTest {

  private static final long INTERVAL_MILLIS = 80;

  private final ManualClock clock = new ManualClock(1_000);
  private final BatchRateLimiter rateLimiter = new BatchRateLimiter(clock, INTERVAL_MILLIS);

  @Test
  void allowsABurstAndThenOneBatchPerInterval() {
    assertThat(batchesWithin(1)).isEqualTo(4);
    assertThat(batchesWithin(100 * INTERVAL_MILLIS)).isEqualTo(100);
  }

  @Test
  void noBatchIsAllowedWhileSuspended() {
    rateLimiter.suspend(500);
    assertThat(rateLimiter.waitMillis()).isEqualTo(500);
    clock.advance(500);
    assertThat(rateLimiter.waitMillis()).isAtMost(0);
  }

  private int batchesWithin(long millis) {
    int batches = 0;
    for (long i = 0; i < millis; i++) {
      while (rateLimiter.waitMillis() <= 0) {
        rateLimiter.countBatch();
        batches++;
      }
      clock.advance(1);
    }
    return batches;
  }
}
