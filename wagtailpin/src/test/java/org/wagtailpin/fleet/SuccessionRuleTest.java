package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SuccessionRuleTest {

  private static final long BOUND_MILLIS = 2_000;

  private final FleetTiming timing = FleetTiming.within(BOUND_MILLIS, 3, false);
  private final SuccessionRule rule = new SuccessionRule(timing);

  @Test
  void aFollowedWatcherIsNotReplaced() {
    assertThat(rule.waitMillis(WatcherStanding.FOLLOWED, 0)).isEmpty();
  }

  @Test
  void laterRanksWaitLonger() {
    for (WatcherStanding standing : WatcherStanding.values()) {
      if (standing != WatcherStanding.FOLLOWED) {
        assertThat(rule.waitMillis(standing, 1).getAsLong())
            .isGreaterThan(rule.waitMillis(standing, 0).getAsLong());
      }
    }
  }

  @Test
  void evenTheLastRankReplacesASilentWatcherWithinTheBound() {
    long untilListed = rule.waitMillis(WatcherStanding.SILENT, 100).getAsLong();

    assertThat(untilListed + timing.beatMillis() / 2).isLessThan(BOUND_MILLIS + 100);
    assertThat(rule.waitMillis(WatcherStanding.SILENT, 0).getAsLong() + timing.beatMillis())
        .isLessThan(BOUND_MILLIS);
  }
}
