package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

class CapacitySharesTest {

  private static final double TOLERANCE = 1e-6;

  private static CustomerSum customer(int number, double weight, double offered) {
    return new CustomerSum(number, weight, 0, offered);
  }

  private static LevelSums level(int priority, double admitted, CustomerSum... customers) {
    double offered = List.of(customers).stream().mapToDouble(CustomerSum::offered).sum();
    return new LevelSums(
        "work", priority, admitted, offered - admitted, customers.length, List.of(customers));
  }

  private static double share(CapacityShares shares, int priority, int customer) {
    return shares.excess(priority, customer).orElseThrow().share();
  }

  @Test
  void aCustomerWithAnExcessiveDemandGetsWhatOthersLeave() {
    CapacityShares shares =
        new CapacityShares(
            List.of(level(0, 100, customer(1, 1, 90), customer(2, 1, 20), customer(3, 1, 30))));

    assertThat(share(shares, 0, 1)).isWithin(TOLERANCE).of(100 * CapacityShares.HEADROOM - 50);
    assertThat(shares.excess(0, 2)).isEmpty();
    assertThat(shares.excess(0, 3)).isEmpty();
  }

  @Test
  void customersShareByTheirWeights() {
    CapacityShares shares =
        new CapacityShares(List.of(level(0, 80, customer(1, 1, 100), customer(2, 3, 100))));

    assertThat(share(shares, 0, 1)).isWithin(TOLERANCE).of(20 * CapacityShares.HEADROOM);
    assertThat(share(shares, 0, 2)).isWithin(TOLERANCE).of(60 * CapacityShares.HEADROOM);
  }

  @Test
  void customersThatAreNotListedKeepTheirShares() {
    LevelSums level = new LevelSums("work", 0, 100, 50, 11, List.of(customer(1, 1, 100)));

    assertThat(share(new CapacityShares(List.of(level)), 0, 1))
        .isWithin(TOLERANCE)
        .of(100 * CapacityShares.HEADROOM - 50);
  }

  @Test
  void nobodyExceedsAShareWhileNothingIsRefused() {
    CapacityShares shares =
        new CapacityShares(
            List.of(new LevelSums("work", 0, 90, 0, 1, List.of(new CustomerSum(1, 1, 90, 0)))));

    assertThat(shares.excessiveCustomers()).isEqualTo(0);
  }

  @Test
  void aLessUrgentPriorityKeepsItsShareOfTheCapacity() {
    CapacityShares shares =
        new CapacityShares(
            List.of(level(0, 80, customer(1, 1, 120)), level(1, 0, customer(1, 1, 100))));

    assertThat(share(shares, 1, 1))
        .isWithin(TOLERANCE)
        .of(80 * CapacityShares.HEADROOM * CapacityShares.LESS_URGENT_SHARE);
  }

  // Guards against a share of less urgent work by which it is served at a higher rate than urgent
  // work, and against shares that add up to more than the capacity.
  @Test
  void noLevelIsServedAtALowerRateThanALessUrgentOneAndTheCapacityIsUsedOnce() {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(5);
    for (int round = 0; round < 2_000; round++) {
      List<LevelSums> levels = new ArrayList<>();
      for (int priority = 0; priority < 4; priority++) {
        double offered = Math.exp(6 * random.nextDouble());
        levels.add(level(priority, 0.8 * offered * random.nextDouble(), customer(1, 1, offered)));
      }
      CapacityShares shares = new CapacityShares(levels);
      double rateBefore = 1;
      double used = 0;
      for (LevelSums level : levels) {
        Optional<CapacityShares.Share> excess = shares.excess(level.priority(), 1);
        double granted = excess.map(CapacityShares.Share::share).orElse(level.offered());
        double rate = granted / level.offered();
        assertWithMessage("round %s, %s", round, levels).that(rate).isAtMost(rateBefore + 0.002);
        rateBefore = rate;
        used += granted;
      }
      double capacity =
          CapacityShares.HEADROOM * levels.stream().mapToDouble(LevelSums::admitted).sum();
      assertWithMessage("round %s, %s", round, levels)
          .that(used)
          .isWithin(0.005 * capacity)
          .of(capacity);
    }
  }
}
