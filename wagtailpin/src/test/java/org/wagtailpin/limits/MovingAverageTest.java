package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class MovingAverageTest {

  @Test
  void aFirstSampleIsOutvotedByThoseThatFollow() {
    MovingAverage average = new MovingAverage(0.02);
    average.add(2);
    for (int i = 0; i < 10; i++) {
      average.add(0.5);
    }

    assertThat(average.orElse(0)).isWithin(0.01).of((2 + 10 * 0.5) / 11);
  }

  @Test
  void aKnownValueIsChangedBySamplesInSmallSteps() {
    MovingAverage average = new MovingAverage(0.1);
    average.reset(1);
    average.add(0);

    assertThat(average.orElse(0)).isWithin(0.001).of(0.9);
  }

  @Test
  void laterSamplesWeighAsMuchAsTheSmoothingFactor() {
    MovingAverage average = new MovingAverage(0.1);
    for (int i = 0; i < 100; i++) {
      average.add(1);
    }
    average.add(0);

    assertThat(average.orElse(0)).isWithin(0.001).of(0.9);
  }
}
