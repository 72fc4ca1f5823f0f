package org.wagtailpin.claims;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ClaimScheduleTest {

  private static final long FIRST_SEED = 1;
  private static final int SCHEDULE_COUNT = 300;

  @Test
  void noKeyRunsTwiceUnderAnyScheduleOfFaults() {
    Map<Class<?>, Integer> results = new HashMap<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULE_COUNT; seed++) {
      ClaimSimulation simulation = new ClaimSimulation(seed, MutantStore.Mutation.NONE);
      simulation.run();
      assertWithMessage("seed %s", seed).that(simulation.violations()).isEmpty();
      simulation.results().forEach((type, count) -> results.merge(type, count, Integer::sum));
    }
    System.out.println("claim schedules: seeds from " + FIRST_SEED + ", results " + results);
    assertThat(results.keySet())
        .containsAtLeast(
            ClaimResult.Granted.class,
            ClaimResult.Replayed.class,
            ClaimResult.AlreadyDispatched.class,
            ClaimResult.Unavailable.class);
  }

  @ParameterizedTest
  @EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
  void theSchedulesDetectEachDisabledGuard(MutantStore.Mutation mutation) {
    boolean found = false;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULE_COUNT && !found; seed++) {
      ClaimSimulation simulation = new ClaimSimulation(seed, mutation);
      simulation.run();
      found = simulation.violations().stream().anyMatch(each -> each.contains(" ran "));
    }
    assertWithMessage("at least one schedule runs a key twice").that(found).isTrue();
  }
}
