package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.budget.BudgetPeers;

/** Guards against two holders that each take the whole share of their failure domain. */
class ShareHoldersTest {

  private static final int ENTRIES = 5;
  private static final long STEP_MILLIS = 100;

  /** For how long entries that change over may count for both holders. */
  private static final double MAX_EXCESS_MILLIS = 1_500;

  private static double sum(SimulatedDomains fleet, String domain) {
    return fleet.watchers(domain).stream()
        .map(member -> member.membership().budgetPeers())
        .mapToDouble(BudgetPeers::followedShare)
        .sum();
  }

  @Test
  void theWatcherOfEachDomainHoldsItsWholeShareAndTheOthersKnowIt() {
    SimulatedDomains fleet = new SimulatedDomains(1);
    fleet.start(3, ENTRIES);
    fleet.advance(10_000);
    for (String domain : fleet.domains()) {
      assertThat(sum(fleet, domain)).isEqualTo(1.0);
    }
    String holder = fleet.watchers("d0").get(0).id();
    for (SimulatedMember member : fleet.members()) {
      BudgetPeers peers = member.membership().budgetPeers();
      if (member.domain().equals("d0")) {
        assertThat(peers.holder()).hasValue(holder);
        assertThat(peers.holding()).isEqualTo(member.id().equals(holder));
      }
      assertThat(peers.otherHolders()).hasSize(2);
    }
  }

  @Test
  void aHolderThatIsCutOffIsLeftWithTheShareOfOneEntry() {
    SimulatedDomains fleet = new SimulatedDomains(2);
    fleet.start(3, ENTRIES);
    fleet.advance(10_000);
    SimulatedMember old = fleet.watchers("d1").get(0);
    old.cutFromPeers();
    double excessMillis = 0;
    for (int step = 0; step < 60; step++) {
      fleet.advance(STEP_MILLIS);
      excessMillis += Math.max(0, sum(fleet, "d1") - 1) * STEP_MILLIS;
    }
    List<SimulatedMember> watchers = fleet.watchers("d1");
    assertThat(watchers).hasSize(2);
    assertThat(old.membership().budgetPeers().followedShare()).isEqualTo(1.0 / ENTRIES);
    assertThat(sum(fleet, "d1")).isEqualTo(1.0);
    assertThat(excessMillis).isAtMost(MAX_EXCESS_MILLIS);
  }
}
