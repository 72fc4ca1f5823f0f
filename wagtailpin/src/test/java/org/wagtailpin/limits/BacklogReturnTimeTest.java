package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;

class BacklogReturnTimeTest {

  private static final long FAR_MILLIS = 100_000;
  private static final int DRAWS = 1_000;

  private static final double PACE_MILLIS = 10;

  private final ManualClock clock = new ManualClock(1_000);
  private final ReturnTime returnTime =
      new BacklogReturnTime(clock, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

  private static ReturnTime.Backlog backlog(
      double waitMillis, double acceptedMillis, long remainingMillis) {
    return new ReturnTime.Backlog(
        "work", 0, waitMillis, acceptedMillis, PACE_MILLIS, remainingMillis);
  }

  @Test
  void aCallerComesBackWhenItsWaitWouldHaveBeenAccepted() {
    long millis = returnTime.millis(backlog(1_400, 400, FAR_MILLIS));

    assertThat(millis).isAtLeast(1_000L);
    assertThat(millis).isAtMost(1_000 + (long) PACE_MILLIS);
  }

  @Test
  void callersThatAreRefusedTogetherComeBackAtThePaceOfTheSlots() {
    long before = 0;
    for (int i = 0; i < 50; i++) {
      long millis = returnTime.millis(backlog(500, 400, FAR_MILLIS));
      assertThat(millis).isAtLeast(before);
      before = 100 + (long) (i * PACE_MILLIS);
    }
    clock.advance(1_000);
    assertThat(returnTime.millis(backlog(500, 400, FAR_MILLIS))).isLessThan(120L);
  }

  @Test
  void aCallerIsNotSentAwayForMoreThanAPartOfItsTime() {
    for (int i = 0; i < DRAWS; i++) {
      assertThat(returnTime.millis(backlog(5_000, 0, 800))).isAtMost(200L);
    }
  }

  @Test
  void anUnknownWaitIsNotTakenForALongOne() {
    double unknown = Double.POSITIVE_INFINITY;

    assertThat(returnTime.millis(backlog(unknown, 0, FAR_MILLIS))).isAtMost(150L);
  }

  @Test
  void theTimeIsAtLeastOneMillisecond() {
    assertThat(returnTime.millis(backlog(0, 0, 0))).isEqualTo(1L);
  }
}
