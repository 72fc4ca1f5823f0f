package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class UncoordinatedRateTest {

  private static final int SEEDS = 10;
  private static final int STEP_MILLIS = 20;
  private static final int STEPS = 3_000;
  private static final int WINDOW_STEPS =
      (int) (UncoordinatedRate.WINDOW_SECONDS * 1_000 / STEP_MILLIS);

  /** Returns the most requests in a window, of entries that always have a request to send. */
  private static int peak(double limit, int entries, long seed) {
    Random random = new Random(seed);
    double share = UncoordinatedRate.perSecond(limit, entries) / entries;
    List<RequestPace> paces = new ArrayList<>();
    for (int i = 0; i < entries; i++) {
      paces.add(new RequestPace(0, random.nextDouble()));
    }
    int[] sent = new int[STEPS];
    int inWindow = 0;
    int most = 0;
    for (int step = 0; step < STEPS; step++) {
      for (RequestPace pace : paces) {
        sent[step] += pace.tryUse(step * STEP_MILLIS, share) ? 1 : 0;
      }
      inWindow += sent[step] - (step >= WINDOW_STEPS ? sent[step - WINDOW_STEPS] : 0);
      most = Math.max(most, inWindow);
    }
    return most;
  }

  @ParameterizedTest
  @CsvSource({
    "0.2, 16",
    "0.2, 524",
    "1, 2",
    "1, 16",
    "1, 152",
    "1, 524",
    "3.7, 16",
    "3.7, 152",
    "3.7, 524",
    "7.5, 16",
    "7.5, 152",
    "20, 2",
    "20, 16",
    "20, 524"
  })
  void noFleetSendsMoreThanServersTolerate(double limit, int entries) {
    double tolerated =
        UncoordinatedRate.TOLERATED_FACTOR * limit * UncoordinatedRate.WINDOW_SECONDS
            + UncoordinatedRate.TOLERATED_SURPLUS;
    for (long seed = 0; seed < SEEDS; seed++) {
      assertWithMessage("limit %s, %s entries, seed %s", limit, entries, seed)
          .that((double) peak(limit, entries, seed))
          .isAtMost(tolerated);
    }
  }

  @Test
  void aSmallFleetUsesAllOfALimit() {
    assertThat(UncoordinatedRate.perSecond(3.7, 16)).isEqualTo(3.7);
    assertThat(UncoordinatedRate.perSecond(20, 2)).isEqualTo(20);
  }

  @Test
  void aLargeFleetUsesMostOfALimit() {
    assertThat(UncoordinatedRate.perSecond(3.7, 524)).isAtLeast(0.6 * 3.7);
    assertThat(UncoordinatedRate.perSecond(100, 524)).isAtLeast(0.9 * 100);
  }
}
