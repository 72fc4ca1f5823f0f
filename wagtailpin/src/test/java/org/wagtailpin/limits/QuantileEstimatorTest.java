package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class QuantileEstimatorTest {

  private static final int WINDOW = 11;

  private final QuantileEstimator median = new QuantileEstimator(WINDOW, 0.5);

  @Test
  void aFirstSampleIsOutvotedByTwoOthers() {
    median.add(4, 1);
    median.add(200, 2);
    median.add(210, 3);

    assertThat(median.millisOrElse(0)).isEqualTo(200);
    assertThat(median.lastSampleMillis()).isEqualTo(3);
  }

  @Test
  void onlyTheLastSamplesCount() {
    for (int i = 0; i < 10 * WINDOW; i++) {
      median.add(4, i);
    }
    for (int i = 0; i < WINDOW; i++) {
      median.add(200, i);
    }

    assertThat(median.millisOrElse(0)).isEqualTo(200);
  }

  @Test
  void anEstimateIsAboveZeroForAnswersFasterThanTheAssumedTrip() {
    median.add(0, 1);

    assertThat(median.millisOrElse(20)).isGreaterThan(0.0);
  }

  @Test
  void withoutSamplesTheFallbackHolds() {
    assertThat(median.millisOrElse(20)).isEqualTo(20);
  }
}
