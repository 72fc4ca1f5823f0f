package org.wagtailpin.budget;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against more requests than the quota in some window, and against refusals below it. */
class BudgetScheduleTest {

  private static final int DOMAINS = 6;
  private static final int PER_DOMAIN = 8;
  private static final int SEEDS = 12;
  private static final int STEPS = 80;
  private static final int FLOOD_STEPS = 20;
  private static final double FLOOD = 5;
  private static final long FLOOD_MILLIS = 6_000;
  private static final long MAX_STEP_MILLIS = 1_500;
  private static final long CALL_MILLIS = 2;
  private static final double MAX_REFUSED_SHARE = 0.02;
  private static final double USUAL_SHARE = 1 / 1.6;

  /** Plays random faults, with a flood at all entries from time to time and less demand between. */
  private static SimulatedBudgets play(long seed, double validMillis) {
    SimulatedBudgets fleet = new SimulatedBudgets(DOMAINS, PER_DOMAIN, seed, validMillis);
    UniformRandomProvider random = fleet.random;
    for (int step = 1; step <= STEPS && fleet.broken().isEmpty(); step++) {
      boolean flood = step % FLOOD_STEPS == 0;
      if (random.nextBoolean()) {
        disturb(fleet);
      }
      int first = random.nextInt(fleet.nodes.size());
      int spread = flood || random.nextInt(3) == 0 ? fleet.nodes.size() : 1;
      double load = flood ? FLOOD : random.nextDouble();
      long end = fleet.clock.millis() + (flood ? FLOOD_MILLIS : random.nextLong(MAX_STEP_MILLIS));
      // Servers that take no requests for a while have granted calls wait until the end of the
      // step.
      long sentMillis = random.nextInt(4) == 0 ? end : 0;
      while (fleet.clock.millis() < end) {
        callAtRandom(fleet, first, spread, load, sentMillis);
        fleet.time.advance(CALL_MILLIS);
      }
    }
    return fleet;
  }

  private static void callAtRandom(
      SimulatedBudgets fleet, int first, int spread, double load, long sentMillis) {
    for (BudgetKey budget : SimulatedBudgets.LIMITS.keySet()) {
      double expected =
          SimulatedBudgets.LIMITS.get(budget).perSecond() * load * CALL_MILLIS / 1_000;
      for (double rest = expected; rest > 0; rest--) {
        if (fleet.random.nextDouble() < rest) {
          int index = (first + fleet.random.nextInt(spread)) % fleet.nodes.size();
          fleet.call(fleet.nodes.get(index), budget, sentMillis);
        }
      }
    }
  }

  private static void disturb(SimulatedBudgets fleet) {
    UniformRandomProvider random = fleet.random;
    int index = random.nextInt(fleet.nodes.size());
    SimulatedBudgets.Node any = fleet.nodes.get(index);
    SimulatedBudgets.Node node =
        any.holder().flatMap(fleet::find).filter(n -> random.nextBoolean()).orElse(any);
    switch (random.nextInt(10)) {
      case 0 -> node.kill();
      case 1 -> node.frozen = true;
      case 2 -> fleet.nodes.forEach(n -> n.frozen = n.frozen || random.nextInt(3) == 0);
      case 3 -> fleet.nodes.forEach(SimulatedBudgets.Node::resume);
      case 4 -> node.cut(1 + index);
      case 5 -> fleet.nodes.forEach(n -> n.cut(random.nextInt(3)));
      case 6 -> fleet.nodes.forEach(n -> n.cut(0));
      case 7 -> {
        // Half of a domain follows another holder.
        fleet.nodes.stream()
            .filter(n -> n.domain.equals(node.domain) && random.nextBoolean())
            .forEach(n -> n.forceHolder(Optional.of(node.id)));
      }
      case 8 -> {
        if (random.nextInt(4) == 0) {
          fleet.nodes.forEach(SimulatedBudgets.Node::start);
        }
        fleet.nodes.forEach(n -> n.forceHolder(Optional.empty()));
      }
      default -> {
        fleet.nodes.stream().filter(n -> !n.running).forEach(SimulatedBudgets.Node::start);
      }
    }
  }

  @Test
  void noWindowHasMoreThanTheBoundWhateverFails() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertWithMessage("seed %s", seed)
          .that(play(seed, EntryUnits.VALID_MILLIS).broken())
          .isEmpty();
    }
  }

  @Test
  void spendingExpiredUnitsIsCaught() {
    boolean caught = false;
    for (long seed = 1; seed <= SEEDS && !caught; seed++) {
      caught = !play(seed, Double.POSITIVE_INFINITY).broken().isEmpty();
    }
    assertThat(caught).isTrue();
  }

  @Test
  void anEntryThatIsCutOffIsNotToldThatTheQuotaIsExhausted() {
    SimulatedBudgets fleet = new SimulatedBudgets(DOMAINS, PER_DOMAIN, 1, EntryUnits.VALID_MILLIS);
    fleet.time.advance(5_000);
    SimulatedBudgets.Node node = fleet.nodes.get(PER_DOMAIN - 1);
    node.cut(1);
    fleet.time.advance(5_000);
    for (int i = 0; i < 40; i++) {
      fleet.call(node, SimulatedBudgets.SMALL, 0);
      fleet.time.advance(100);
    }
    assertThat(fleet.denied).isEqualTo(0);
    assertThat(fleet.unavailable).isGreaterThan(fleet.granted);
  }

  /** Which entries the demand of a customer reaches. */
  private enum Demand {
    ONE_HOST,
    A_TENTH,
    ALL,
    MOVING;

    int hosts(int second) {
      Demand now = this == MOVING ? List.of(ONE_HOST, A_TENTH, ALL).get(second % 3) : this;
      return switch (now) {
        case ONE_HOST -> 1;
        case A_TENTH -> DOMAINS * PER_DOMAIN / 10;
        default -> DOMAINS * PER_DOMAIN;
      };
    }
  }

  @ParameterizedTest
  @EnumSource(Demand.class)
  void demandBelowTheQuotaIsHardlyRefused(Demand demand) {
    SimulatedBudgets fleet = new SimulatedBudgets(DOMAINS, PER_DOMAIN, 1, EntryUnits.VALID_MILLIS);
    fleet.time.advance(5_000);
    double perSecond = SimulatedBudgets.LIMITS.get(SimulatedBudgets.SMALL).perSecond();
    int first = 0;
    for (int step = 0; step < 60 * 500; step++) {
      int second = step / 500;
      if (demand == Demand.MOVING && step % 250 == 0) {
        first = fleet.random.nextInt(fleet.nodes.size());
      }
      if (fleet.random.nextDouble() < perSecond * USUAL_SHARE * CALL_MILLIS / 1_000) {
        int offset = fleet.random.nextInt(demand.hosts(second));
        fleet.call(
            fleet.nodes.get((first + offset) % fleet.nodes.size()), SimulatedBudgets.SMALL, 0);
      }
      fleet.time.advance(CALL_MILLIS);
    }
    int refused = fleet.denied + fleet.unavailable;
    assertThat((double) refused / (refused + fleet.granted)).isLessThan(MAX_REFUSED_SHARE);
  }

  /** Guards against a customer above its quota getting less than the quota. */
  @Test
  void demandAboveTheQuotaIsServedUpToIt() {
    BudgetLimit limit = new BudgetLimit(36, 36);
    SimulatedBudgets fleet =
        new SimulatedBudgets(
            DOMAINS, 4, 1, EntryUnits.VALID_MILLIS, Map.of(SimulatedBudgets.SMALL, limit));
    fleet.time.advance(5_000);
    int seconds = 10;
    for (int step = 0; step < seconds * 500; step++) {
      if (fleet.random.nextDouble() < 10 * limit.perSecond() * CALL_MILLIS / 1_000) {
        int index = fleet.random.nextInt(fleet.nodes.size());
        fleet.call(fleet.nodes.get(index), SimulatedBudgets.SMALL, 0);
      }
      fleet.time.advance(CALL_MILLIS);
    }
    assertThat(fleet.granted).isAtLeast((int) (0.95 * limit.perSecond() * seconds));
  }
}
