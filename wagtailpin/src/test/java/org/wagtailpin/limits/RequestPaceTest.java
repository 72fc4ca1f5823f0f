package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class RequestPaceTest {

  private static final double PER_SECOND = 0.25;
  private static final double PERIOD_MILLIS = 4_000;

  private final RequestPace pace = new RequestPace(0, 0.5);

  @Test
  void theFirstRequestWaitsForTheRestOfItsPeriod() {
    assertThat(pace.tryUse(1_999, PER_SECOND)).isFalse();
    assertThat(pace.millisToNext(1_000, PER_SECOND)).isWithin(0.001).of(1_000);
    assertThat(pace.tryUse(2_001, PER_SECOND)).isTrue();
  }

  @Test
  void onlyOneRequestIsSentInAPeriod() {
    assertThat(pace.tryUse(2_001, PER_SECOND)).isTrue();
    assertThat(pace.tryUse(2_002, PER_SECOND)).isFalse();
    assertThat(pace.millisToNext(2_002, PER_SECOND)).isWithin(0.001).of(PERIOD_MILLIS - 2);
  }

  @Test
  void aRequestThatIsNotSentInTimeIsForfeited() {
    assertThat(pace.isOpen(2_000 + RequestPace.VALID_MILLIS, PER_SECOND)).isTrue();
    assertThat(pace.tryUse(2_001 + RequestPace.VALID_MILLIS, PER_SECOND)).isFalse();
  }

  @Test
  void afterAPauseOfManyPeriodsOneRequestIsSent() {
    double later = 2_001 + 10 * PERIOD_MILLIS;

    assertThat(pace.tryUse(later, PER_SECOND)).isTrue();
    assertThat(pace.tryUse(later, PER_SECOND)).isFalse();
  }

  @Test
  void noRequestIsSentWithoutAShare() {
    assertThat(pace.tryUse(1_000_000, 0)).isFalse();
    assertThat(pace.millisToNext(1_000_000, 0)).isPositiveInfinity();
  }
}
