package org.wagtailpin.clock;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class TokenBucketTest {

  private final ManualClock clock = new ManualClock(0);
  private final TokenBucket bucket = new TokenBucket(clock, 200);

  private int taken(int millis, double perSecond) {
    int taken = 0;
    for (int i = 0; i < millis; i++) {
      clock.advance(1);
      if (bucket.take(1, perSecond)) {
        taken++;
      }
    }
    return taken;
  }

  @Test
  void theRateHolds() {
    assertThat(taken(10_000, 50)).isIn(com.google.common.collect.Range.closed(490, 501));
  }

  @Test
  void unusedTokensAccumulateForTheBurstTimeOnly() {
    clock.advance(60_000);

    assertThat(taken(1000, 50)).isAtMost(61);
  }

  @Test
  void aLowerRateAppliesAtOnce() {
    taken(1000, 1000);

    assertThat(taken(1000, 10)).isAtMost(12);
  }

  @Test
  void aRateOfZeroAllowsNothing() {
    assertThat(taken(1000, 0)).isEqualTo(0);
  }
}
