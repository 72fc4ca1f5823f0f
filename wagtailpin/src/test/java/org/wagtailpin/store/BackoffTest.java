package org.wagtailpin.store;

import static com.google.common.truth.Truth.assertThat;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class BackoffTest {

  private static final long SEED = 42;

  private final Backoff backoff =
      new Backoff(10, 80, RandomSource.XO_RO_SHI_RO_128_PP.create(SEED));

  @Test
  void theBoundDoublesUpToTheCap() {
    long[] bounds = {10, 20, 40, 80, 80, 80};
    for (int round = 0; round < 500; round++) {
      backoff.reset();
      for (long bound : bounds) {
        long delay = backoff.nextMillis();
        assertThat(delay).isAtLeast(1);
        assertThat(delay).isAtMost(bound);
      }
    }
  }

  @Test
  void clientsThatFailTogetherRetryAtDifferentTimes() {
    long distinct = 0;
    boolean[] seen = new boolean[81];
    for (int client = 0; client < 200; client++) {
      Backoff own = new Backoff(80, 80, RandomSource.XO_RO_SHI_RO_128_PP.create(SEED + client));
      int delay = (int) own.nextMillis();
      distinct += seen[delay] ? 0 : 1;
      seen[delay] = true;
    }
    assertThat(distinct).isGreaterThan(40);
  }
}
