package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.membership.LimitShares;

class ProbeBudgetTest {

  private static final ProbeBudget.Rates RATES = new ProbeBudget.Rates(4, 10, 1000);
  private static final int SECONDS = 60;

  private final ManualClock clock = new ManualClock(0);
  private int liveEntries = 16;

  private LimitShares evenShares() {
    return new LimitShares() {
      @Override
      public int integerShare(String limitName, int limit) {
        return limit / liveEntries;
      }

      @Override
      public double share(double limit) {
        return limit / liveEntries;
      }
    };
  }

  private List<ProbeBudget> entries() {
    List<ProbeBudget> entries = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      entries.add(new ProbeBudget(clock, evenShares()));
    }
    return entries;
  }

  @Test
  void sixteenEntriesTogetherStayWithinTheProbeRateOfAServer() {
    List<ProbeBudget> entries = entries();
    int sent = 0;

    for (int i = 0; i < SECONDS * 100; i++) {
      clock.advance(10);
      for (ProbeBudget entry : entries) {
        sent += entry.take("s", "north", true, RATES) ? 1 : 0;
      }
    }

    assertThat(sent).isAtMost(4 * SECONDS + 16);
    assertThat(sent).isAtLeast(3 * SECONDS);
  }

  @Test
  void theBudgetOfALinkHoldsOverAllServersBehindIt() {
    List<ProbeBudget> entries = entries();
    int sent = 0;

    for (int i = 0; i < SECONDS * 100; i++) {
      clock.advance(10);
      for (ProbeBudget entry : entries) {
        sent += entry.take("s" + i % 30, "south", false, RATES) ? 1 : 0;
      }
    }

    assertThat(sent).isAtMost(10 * SECONDS + 16);
  }

  @Test
  void theBudgetHoldsWhileEntriesComeAndGo() {
    List<ProbeBudget> entries = entries();
    int sent = 0;

    for (int i = 0; i < SECONDS * 100; i++) {
      clock.advance(10);
      liveEntries = i / 500 % 2 == 0 ? 16 : 8;
      for (ProbeBudget entry : entries.subList(0, liveEntries)) {
        sent += entry.take("s", "north", true, RATES) ? 1 : 0;
      }
    }

    // At each change, an entry that was away holds the tokens saved up over its burst time.
    assertThat(sent).isAtMost(4 * SECONDS + 16 * (SECONDS / 5));
  }
}
