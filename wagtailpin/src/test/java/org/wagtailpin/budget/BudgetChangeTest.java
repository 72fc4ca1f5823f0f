package org.wagtailpin.budget;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against refusals below the quota and windows above it after changes of the fleet or of the
 * quota, and against more messages than a slow host can handle.
 */
class BudgetChangeTest {

  private static final int DOMAINS = 6;
  private static final int PER_DOMAIN = 20;
  private static final int CUSTOMERS = 80;
  private static final double USUAL_SHARE = 1 / 1.6;
  private static final double MAX_REFUSED_SHARE = 0.02;
  private static final long STEP_MILLIS = 2;
  private static final long SETTLE_MILLIS = 5_000;
  private static final long CONFIG_MILLIS = 3_000;

  /** Time in which a silent watcher is noticed, and another has found others silent. */
  private static final long SILENT_MILLIS = 320;

  /** Time for the answer of another domain, and for most loans; less than a silent one takes. */
  private static final long ANSWER_MILLIS = 110;

  /** One request and one answer, and loans for some of them. */
  private static final double MAX_MESSAGES = 3;

  /** Returns the quotas of customers of different sizes, the smallest about 1 a second. */
  private static Map<BudgetKey, BudgetLimit> customers(double usualPerSecond) {
    Map<BudgetKey, BudgetLimit> limits = new LinkedHashMap<>();
    double sum = 0;
    for (int i = 0; i < CUSTOMERS; i++) {
      sum += weight(i);
    }
    for (int i = 0; i < CUSTOMERS; i++) {
      double perSecond = usualPerSecond * weight(i) / sum / USUAL_SHARE;
      limits.put(BudgetKey.customerQuota("c" + i), new BudgetLimit(perSecond, 2 * perSecond));
    }
    return limits;
  }

  private static double weight(int customer) {
    return 1 + customer % 8;
  }

  private static SimulatedBudgets fleet(Map<BudgetKey, BudgetLimit> limits) {
    return new SimulatedBudgets(DOMAINS, PER_DOMAIN, 1, EntryUnits.VALID_MILLIS, limits);
  }

  /** Lets all customers send at random entries. */
  private static void play(SimulatedBudgets fleet, double load, long millis) {
    for (long end = fleet.clock.millis() + millis; fleet.clock.millis() < end; ) {
      for (Map.Entry<BudgetKey, BudgetLimit> customer : fleet.limits.entrySet()) {
        double expected = customer.getValue().perSecond() * load * STEP_MILLIS / 1_000;
        for (double rest = expected; rest > 0; rest--) {
          if (fleet.random.nextDouble() < rest) {
            int index = fleet.random.nextInt(fleet.nodes.size());
            fleet.call(fleet.nodes.get(index), customer.getKey(), 0);
          }
        }
      }
      fleet.time.advance(STEP_MILLIS);
    }
  }

  @Test
  void aLoweredQuotaBindsOneWindowAfterAllEntriesKnowIt() {
    SimulatedBudgets fleet = fleet(SimulatedBudgets.LIMITS);
    play(fleet, 2, 2 * SETTLE_MILLIS);
    fleet.limits.replaceAll((key, limit) -> new BudgetLimit(limit.perSecond() / 8, 2));
    play(fleet, 16, CONFIG_MILLIS + fleet.settings.windowMillis());
    fleet.broken().clear();
    fleet.forgetCounts();
    play(fleet, 16, 4 * fleet.settings.windowMillis());
    assertThat(fleet.broken()).isEmpty();
    assertThat(fleet.granted).isGreaterThan(0);
  }

  private static void assertHardlyRefused(SimulatedBudgets fleet, String when) {
    int refused = fleet.denied + fleet.unavailable;
    assertThat(fleet.granted).isGreaterThan(0);
    assertWithMessage("%s: of %s requests", when, refused + fleet.granted)
        .that((double) refused / (refused + fleet.granted))
        .isLessThan(MAX_REFUSED_SHARE);
  }

  /** All entries start at once, before any has followers. */
  @Test
  void startOfAllEntriesRefusesHardlyAnyRequestBelowTheQuota() {
    SimulatedBudgets fleet = fleet(customers(400));
    play(fleet, USUAL_SHARE, 2_000);
    assertHardlyRefused(fleet, "after the start");
  }

  /** The share of a domain is a sixth of a unit a second here, less than any request needs. */
  @Test
  void quotasOfOneRequestEachSecondAreUsableRightAfterTheStartOfAllEntries() {
    Map<BudgetKey, BudgetLimit> limits = customers(400);
    limits.replaceAll((key, limit) -> new BudgetLimit(1, 1));
    SimulatedBudgets fleet = fleet(limits);
    play(fleet, USUAL_SHARE, 10_000);
    assertHardlyRefused(fleet, "after the start");
  }

  private static void callOfEachCustomer(SimulatedBudgets fleet, SimulatedBudgets.Node node) {
    fleet.forgetCounts();
    fleet.limits.keySet().forEach(key -> fleet.call(node, key, 0));
  }

  private static void assertAllAnswered(SimulatedBudgets fleet) {
    // Some of the calls before may be answered as well.
    assertThat(fleet.granted + fleet.denied).isAtLeast(CUSTOMERS);
    assertThat(fleet.unavailable).isEqualTo(0);
  }

  @Test
  void entriesWhoseWatcherIsLostAskOtherDomainsAtOnce() {
    SimulatedBudgets fleet = fleet(customers(400));
    play(fleet, USUAL_SHARE, SETTLE_MILLIS);
    for (List<String> lost : List.of(List.of("d0-10"), List.of("d1-10", "d2-10"))) {
      lost.forEach(id -> fleet.find(id).orElseThrow().kill());
      SimulatedBudgets.Node follower =
          fleet.nodes.stream()
              .filter(n -> n.holder().equals(Optional.of(lost.get(0))) && n.running)
              .findFirst()
              .orElseThrow();
      callOfEachCustomer(fleet, follower);
      fleet.time.advance(SILENT_MILLIS);
      assertAllAnswered(fleet);
      callOfEachCustomer(fleet, follower);
      fleet.time.advance(ANSWER_MILLIS);
      // Had the lost watcher been asked again, none would be answered yet.
      assertThat(fleet.granted + fleet.denied).isAtLeast(CUSTOMERS / 2);
      fleet.time.advance(ANSWER_MILLIS);
      assertAllAnswered(fleet);
      fleet.forgetCounts();
      play(fleet, USUAL_SHARE, 3_000);
      assertHardlyRefused(fleet, "without " + lost);
    }
  }

  @Test
  void usualLoadCostsFewMessages() {
    for (int perSecond : new int[] {240, 400, 600}) {
      SimulatedBudgets fleet = fleet(customers(perSecond));
      play(fleet, USUAL_SHARE, SETTLE_MILLIS);
      fleet.forgetCounts();
      play(fleet, USUAL_SHARE, 4 * SETTLE_MILLIS);
      assertThat((double) fleet.messages / fleet.granted).isLessThan(MAX_MESSAGES);
      assertHardlyRefused(fleet, perSecond + " a second");
    }
  }
}
