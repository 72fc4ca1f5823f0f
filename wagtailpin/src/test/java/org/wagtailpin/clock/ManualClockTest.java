package org.wagtailpin.clock;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ManualClockTest {

  @Test
  void wallClockJumpDoesNotChangeMonotonicTime() {
    ManualClock clock = new ManualClock(1000);

    clock.advance(5);
    clock.jumpWall(-100);

    assertThat(clock.millis()).isEqualTo(1005);
    assertThat(clock.wallMillis()).isEqualTo(905);
  }

  @Test
  void rejectsNegativeAdvance() {
    ManualClock clock = new ManualClock(1000);

    assertThrows(IllegalArgumentException.class, () -> clock.advance(-1));
  }
}
