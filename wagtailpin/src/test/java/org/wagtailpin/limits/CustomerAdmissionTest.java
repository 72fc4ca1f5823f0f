package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;

class CustomerAdmissionTest {

  private static final double CALL_MILLIS = 100;

  private final ManualClock clock = new ManualClock(1_000_000);
  private final CustomerAdmission entry = new CustomerAdmission(clock);
  private final CustomerAdmission watcher = new CustomerAdmission(clock);

  private static CustomerWork call(String customer) {
    return new CustomerWork("work", 0, customer, 1, CALL_MILLIS);
  }

  /** Has an entry admit 2 slots of a small customer's work, and 2 of 8 slots of the flood's. */
  @BeforeEach
  void overload() {
    for (int step = 0; step < 200; step++) {
      for (CustomerAdmission one : List.of(entry, watcher)) {
        for (int i = 0; i < 8; i++) {
          boolean admitted = i < 2;
          play(one, "flood", admitted);
          if (admitted) {
            play(one, "small", true);
          }
        }
      }
      clock.advance((long) CALL_MILLIS);
    }
  }

  private static void play(CustomerAdmission entry, String customer, boolean admitted) {
    if (admitted) {
      entry.granted(call(customer), false);
    } else {
      entry.refused(call(customer), true);
    }
  }

  private void exchange() {
    double sent = clock.exactMillis();
    watcher.sums().reported("entry", entry.sums().report());
    entry.sums().received(watcher.sums().total(), sent);
  }

  /** Asks with a customer's calls for a time, and returns how many do not exceed its share. */
  private int ask(String customer, int callsPerStep, int steps) {
    int within = 0;
    for (int step = 0; step < steps; step++) {
      for (int i = 0; i < callsPerStep; i++) {
        within += entry.tryTake(call(customer)).isEmpty() ? 1 : 0;
      }
      clock.advance(10);
    }
    return within;
  }

  @Test
  void aSmallCustomerIsNotRefusedAndAFloodGetsItsShareHere() {
    exchange();

    CustomerExcess excess = excessAfterFirst("flood");
    assertThat(excess.domainSums()).isTrue();
    assertThat(excess.offered()).isWithin(1.0).of(16);
    assertThat(excess.share()).isWithin(0.5).of(4 + 8 * (CapacityShares.HEADROOM - 1));
    assertThat(excess.paceMillis()).isWithin(10.0).of(CALL_MILLIS / (excess.share() / 2));
    assertThat(ask("small", 1, 50)).isEqualTo(50);
  }

  private CustomerExcess excessAfterFirst(String customer) {
    while (entry.tryTake(call(customer)).isEmpty()) {
      clock.advance(0);
    }
    return entry.tryTake(call(customer)).orElseThrow();
  }

  // Guards against a share that grows with the requests: a caller that retries at once would get
  // more of it.
  @Test
  void askingMoreOftenGainsNothing() {
    exchange();
    int patient = ask("flood", 1, 50);
    int impatient = ask("flood", 20, 50);

    assertThat(impatient).isAtMost(patient + 1);
  }

  // Guards against an allowance that calls raise which had taken nothing from it.
  @Test
  void refusalsOfCallsThatTookNothingDoNotRaiseTheAllowance() {
    exchange();
    excessAfterFirst("flood");
    for (int i = 0; i < 1_000; i++) {
      entry.refused(call("flood"), false);
    }

    assertThat(ask("flood", 1_000, 1)).isAtMost(30);
  }

  @Test
  void withoutSumsOfTheDomainTheOwnOnesDecide() {
    CustomerExcess excess = excessAfterFirst("flood");

    assertThat(excess.domainSums()).isFalse();
    assertThat(excess.share()).isWithin(0.5).of(2 + 4 * (CapacityShares.HEADROOM - 1));
  }

  @Test
  void sumsThatAreTooOldAreNotUsed() {
    exchange();
    assertThat(entry.sumsAgeMillis()).isPresent();
    clock.advance((long) DomainCustomerSums.MAX_AGE_MILLIS + 1);

    assertThat(entry.sumsAgeMillis()).isEmpty();
    assertThat(excessAfterFirst("flood").domainSums()).isFalse();
  }

  @Test
  void anEntryThatHasJustStartedKnowsTheSharesFromItsWatcher() {
    watcher.sums().reported("entry", entry.sums().report());
    CustomerAdmission started = new CustomerAdmission(clock);
    started.sums().received(watcher.sums().total(), clock.exactMillis());

    assertThat(started.tryTake(call("small"))).isEmpty();
    assertThat(started.tryTake(call("flood"))).isEmpty();
    assertThat(started.tryTake(call("flood")).orElseThrow().domainSums()).isTrue();
  }

  @Test
  void nothingIsReportedWithoutRefusals() {
    CustomerAdmission calm = new CustomerAdmission(clock);
    calm.granted(call("small"), false);

    assertThat(calm.sums().report().levels()).isEmpty();
  }

  @Test
  void aReportListsTheBusiestCustomersOnly() {
    for (int i = 0; i < 100; i++) {
      entry.granted(call("other" + i), false);
    }
    LevelSums level = entry.sums().report().levels().get(0);

    assertThat(level.busiest()).hasSize(DomainCustomerSums.LISTED);
    assertThat(level.busiest().get(0).customer()).isEqualTo(call("flood").customerId());
    assertThat(level.customers()).isEqualTo(102);
  }

  @Test
  void theStateOfCustomersIsBounded() {
    CustomerLoad load = new CustomerLoad(clock);
    for (int i = 0; i < 10_000; i++) {
      load.recordAdmitted(call("c" + i));
    }

    assertThat(load.size()).isAtMost(CustomerLoad.MAX_CUSTOMERS);
  }

  @Test
  void callersOfACustomerComeBackAtThePaceOfItsShare() {
    exchange();
    CustomerExcess excess = excessAfterFirst("flood");
    ReturnTime returnTime =
        new BacklogReturnTime(clock, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    long firstMillis = 0;
    long lastMillis = 0;
    for (int i = 0; i < 20; i++) {
      ReturnTime.Backlog backlog =
          new ReturnTime.Backlog(
              "work",
              0,
              excess.waitMillis(),
              0,
              excess.paceMillis(),
              100_000,
              Optional.of("flood"));
      lastMillis = returnTime.millis(backlog);
      firstMillis = i == 0 ? lastMillis : firstMillis;
    }

    assertThat((double) lastMillis - firstMillis)
        .isWithin(excess.paceMillis() + 1)
        .of(19 * excess.paceMillis());
    ReturnTime.Backlog other =
        new ReturnTime.Backlog("work", 0, 0, 0, 1, 100_000, Optional.of("other"));
    assertThat(returnTime.millis(other)).isLessThan(firstMillis + 20);
  }
}
