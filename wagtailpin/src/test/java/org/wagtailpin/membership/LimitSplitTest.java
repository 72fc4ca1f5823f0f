package org.wagtailpin.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Checks shares over random sets of entries; the message of a failure names the round. */
class LimitSplitTest {

  private static final long SEED = 41;
  private static final int ROUNDS = 2000;
  private static final int MAX_HOLDERS = 20;
  private static final int MAX_OTHERS = 10;
  private static final int MAX_UNITS = 250;

  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);

  private static CountedSets sets(String self, Set<String> set) {
    return new CountedSets(self, set, set);
  }

  private Set<String> holders() {
    Set<String> holders = new TreeSet<>();
    int count = 1 + random.nextInt(MAX_HOLDERS);
    for (int i = 0; i < count; i++) {
      holders.add("holder-" + i);
    }
    return holders;
  }

  private Set<String> withOthers(Set<String> holders) {
    Set<String> larger = new TreeSet<>(holders);
    int count = random.nextInt(MAX_OTHERS);
    for (int i = 0; i < count; i++) {
      larger.add("other-" + random.nextInt(MAX_OTHERS));
    }
    return larger;
  }

  @Test
  void sharesOverSameSetAddUpToLimit() {
    for (int round = 0; round < ROUNDS; round++) {
      Set<String> holders = holders();
      int units = random.nextInt(MAX_UNITS);
      String limit = "limit-" + round;
      int guaranteed = 0;
      int leased = 0;
      for (String holder : holders) {
        guaranteed += sets(holder, holders).guaranteedShare(limit, units);
        leased += sets(holder, holders).leasedShare(limit, units);
      }
      assertThat(guaranteed).isEqualTo(units);
      assertThat(leased).isEqualTo(units);
    }
  }

  @Test
  void sharesOverDifferentSupersetsOfHoldersNeverExceedLimit() {
    for (int round = 0; round < ROUNDS; round++) {
      Set<String> holders = holders();
      int units = random.nextInt(MAX_UNITS);
      String limit = "limit-" + round;
      int guaranteed = 0;
      int leased = 0;
      for (String holder : holders) {
        CountedSets own = sets(holder, withOthers(holders));
        guaranteed += own.guaranteedShare(limit, units);
        leased += own.leasedShare(limit, units);
      }
      assertWithMessage("round " + round).that(guaranteed).isAtMost(units);
      assertWithMessage("round " + round).that(leased).isAtMost(units);
    }
  }

  @Test
  void remaindersOfBothPartsGoToDifferentEntries() {
    Set<String> set = new TreeSet<>();
    for (int i = 0; i < 16; i++) {
      set.add("entry-" + i);
    }
    for (String entry : set) {
      CountedSets own = sets(entry, set);
      int both = own.guaranteedShare("x", 7) + own.leasedShare("x", 8);
      assertThat(both).isAtMost(1);
    }
  }
}
