package org.wagtailpin.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;

class HighestCountTest {

  private static final long MEMORY_MILLIS = 1_000;

  private final ManualClock clock = new ManualClock(5_000);
  private final AtomicInteger reached = new AtomicInteger(16);
  private final HighestCount highest = new HighestCount(reached::get, clock, MEMORY_MILLIS);

  @Test
  void theHalvesOfADividedFleetDoNotUseALimitTwice() {
    EqualShares shares = new EqualShares(highest);
    assertThat(shares.share(8)).isEqualTo(0.5);
    reached.set(8);
    clock.advance(MEMORY_MILLIS - 1);

    assertThat(2 * 8 * shares.share(8)).isAtMost(8.0);
  }

  @Test
  void entriesThatAreGoneForGoodAreForgotten() {
    assertThat(highest.getAsInt()).isEqualTo(16);
    reached.set(4);
    for (int i = 0; i < 2; i++) {
      clock.advance(MEMORY_MILLIS);
      highest.getAsInt();
    }

    assertThat(highest.getAsInt()).isEqualTo(4);
  }

  @Test
  void aCountThatIsNotReadForLongIsForgotten() {
    assertThat(highest.getAsInt()).isEqualTo(16);
    reached.set(4);
    clock.advance(2 * MEMORY_MILLIS);

    assertThat(highest.getAsInt()).isEqualTo(4);
  }

  @Test
  void entriesThatComeCountAtOnce() {
    assertThat(highest.getAsInt()).isEqualTo(16);
    reached.set(20);

    assertThat(highest.getAsInt()).isEqualTo(20);
  }
}
