package org.wagtailpin.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wagtailpin.routing.ContendedService.Demand;
import org.wagtailpin.routing.ContendedService.Patience;

/**
 * Plays the uneven loads of {@code docs/design/contended-load.md}, and checks what callers get. The
 * share by which rates may differ is that page's.
 */
class ContendedLoadTest {

  private static final int SERVERS = 15;
  private static final double CAPACITY_PER_SECOND =
      SERVERS * ContendedService.SLOTS / ContendedService.MEAN_WORK_SECONDS;
  private static final double TOLERANCE = 0.05;
  private static final long CALM_MILLIS = 5_000;

  /** How long a customer may send many times its usual demand. */
  private static final long SURGE_MILLIS = 6_000;

  private static final int CUSTOMERS = 80;
  private static final double OTHER_PER_SECOND = 2.5;
  private static final double FLOOD_PER_SECOND = 20;
  private static final int SEEDS = 4;
  private static final String FLOOD = "flood";

  /**
   * Starts 79 customers that ask for two thirds of the capacity, and one with 9 times its usual.
   */
  private static ContendedService flooded(boolean customers, Patience patience, long seed) {
    ContendedService service = new ContendedService(SERVERS, customers, seed);
    service.setPatience(patience);
    for (int i = 1; i < CUSTOMERS; i++) {
      service.start(new Demand("c" + i, 1, OTHER_PER_SECOND));
    }
    service.start(new Demand(FLOOD, 1, FLOOD_PER_SECOND));
    service.advance(CALM_MILLIS);
    service.surge(FLOOD, 9);
    return service;
  }

  private static void othersAreServed(ContendedService service, String circumstance) {
    assertWithMessage("%s: served of others", circumstance)
        .that(service.others(FLOOD).rate())
        .isAtLeast(1 - TOLERANCE);
  }

  /** Returns the mean rate at which a flood is served, and checks that others are. */
  private static double floodRate(Patience patience) {
    double rates = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      ContendedService service = flooded(true, patience, seed);
      service.measure(SURGE_MILLIS);
      othersAreServed(service, patience + ", seed " + seed);
      rates += service.of(FLOOD).rate();
    }
    return rates / SEEDS;
  }

  @Test
  void aCustomerThatSendsNineTimesItsUsualDemandGetsWhatOthersLeave() {
    double left = CAPACITY_PER_SECOND - (CUSTOMERS - 1) * OTHER_PER_SECOND;
    double leftShare = left / (9 * FLOOD_PER_SECOND);
    double patient = floodRate(Patience.RETRY_AFTER);

    assertThat(patient).isWithin(2 * TOLERANCE).of(leftShare);
    assertThat(floodRate(Patience.IMMEDIATE)).isAtMost(patient + TOLERANCE);
  }

  // Guards against entries that share less fairly than one alone when nobody adds up their sums.
  @Test
  void othersAreServedWhenTheWatcherIsLostDuringAFlood() {
    for (long seed = 1; seed <= 3; seed++) {
      ContendedService service = flooded(true, Patience.RETRY_AFTER, seed);
      service.advance(1_500);
      service.setWatcher(Optional.empty());
      service.measure(SURGE_MILLIS);

      othersAreServed(service, "seed " + seed);
    }
  }

  @Test
  void othersAreServedWhenAnotherEntryTakesOverAsWatcher() {
    ContendedService service = flooded(true, Patience.RETRY_AFTER, 4);
    service.advance(1_500);
    service.restart(0);
    service.setWatcher(Optional.of(1));
    service.measure(SURGE_MILLIS);

    othersAreServed(service, "another watcher");
  }

  @Test
  void othersAreServedWhileEntriesRestartOneAfterAnother() {
    ContendedService service = flooded(true, Patience.RETRY_AFTER, 5);
    for (int entry = 0; entry < ContendedService.ENTRIES; entry++) {
      service.restart(entry);
      service.advance(100);
    }
    service.measure(SURGE_MILLIS);

    othersAreServed(service, "restarts");
  }

  private static void kindsAreServedInTheirOrder(ContendedService service, String circumstance) {
    for (int priority = 1; priority < 3; priority++) {
      assertWithMessage("%s: priority %s", circumstance, priority)
          .that(service.of(priority).rate())
          .isAtMost(service.of(priority - 1).rate() + TOLERANCE);
    }
    assertWithMessage("%s: least urgent", circumstance)
        .that(service.of(2).rate())
        .isAtLeast(1.0 / 8);
  }

  @Test
  void noKindIsServedWorseThanALessUrgentOneWhenOneKindSurges() {
    double[] usualPerSecond = {60, 120, 60};
    for (int surging = 0; surging < 3; surging++) {
      ContendedService service = new ContendedService(SERVERS, true, 3);
      for (int priority = 0; priority < 3; priority++) {
        double factor = priority == surging ? 2.6 : 1;
        for (int i = 0; i < CUSTOMERS; i++) {
          service.start(
              new Demand("c" + i, priority, factor * usualPerSecond[priority] / CUSTOMERS));
        }
      }
      service.advance(CALM_MILLIS);
      service.measure(SURGE_MILLIS);

      kindsAreServedInTheirOrder(service, "priority " + surging + " surges");
    }
  }

  @Test
  void withThreeFifthsOfTheServersSmallCustomersAreServedBetterThanALargeOne() {
    ContendedService service = new ContendedService(SERVERS * 3 / 5, true, 3);
    for (int priority = 0; priority < 3; priority++) {
      service.start(new Demand("large", priority, 40.0 / 3));
      for (int i = 1; i < CUSTOMERS; i++) {
        service.start(new Demand("c" + i, priority, 2.5 / 3));
      }
    }
    service.advance(CALM_MILLIS);
    service.measure(SURGE_MILLIS);

    kindsAreServedInTheirOrder(service, "three fifths of the servers");
    assertThat(service.others("large").rate()).isAtLeast(service.of("large").rate() + 0.1);
    int served = service.others("large").served + service.of("large").served;
    assertThat((double) served).isAtLeast(0.85 * 0.6 * CAPACITY_PER_SECOND * SURGE_MILLIS / 1_000);
  }

  /**
   * Records what today's admission does when all callers come back to entries that know nothing.
   */
  @Test
  void afterARestartOfAllHostsReturningCallersGetTheCapacityUntilTheirDeadline() {
    for (boolean customers : new boolean[] {false, true}) {
      ContendedService service = new ContendedService(SERVERS, customers, 3);
      service.herd(1_500);

      double most = CAPACITY_PER_SECOND * ContendedService.DEADLINE_MILLIS / 1_000;
      assertThat((double) service.others("").served).isAtLeast(0.8 * most);
      kindsAreServedInTheirOrder(service, "restart, customers: " + customers);
    }
  }
}
