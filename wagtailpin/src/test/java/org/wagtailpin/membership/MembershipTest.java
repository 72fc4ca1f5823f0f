package org.wagtailpin.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.api.Test;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.store.memory.MemoryStore;

/** Checks shares, failure detection and store load of simulated fleets. */
class MembershipTest {

  private static final long JOIN_MILLIS = 15_000;
  private static final long LONG_MILLIS = 60_000;

  private static SimulatedFleet fleetOf(int entries) {
    SimulatedFleet fleet = new SimulatedFleet(7);
    for (int i = 0; i < entries; i++) {
      fleet.startNew();
    }
    fleet.run(JOIN_MILLIS);
    return fleet;
  }

  private static void assertLimitsFullyAllocated(SimulatedFleet fleet) {
    for (int limit : SimulatedFleet.LIMITS) {
      assertWithMessage("limit " + limit).that(fleet.sumOfShares(limit)).isEqualTo(limit);
    }
    assertThat(fleet.violations()).isEmpty();
  }

  @Test
  void singleEntryHasFullLimit() {
    assertLimitsFullyAllocated(fleetOf(1));
  }

  @Test
  void sixteenEntriesStartedTogetherUseFullLimit() {
    assertLimitsFullyAllocated(fleetOf(16));
  }

  @Test
  void sharesOfLargeLimitDifferByTwoAtMost() {
    SimulatedFleet fleet = fleetOf(16);
    var shares =
        fleet.running().stream()
            .mapToInt(e -> e.membership().integerShare("x", 240))
            .summaryStatistics();
    assertThat(shares.getMax() - shares.getMin()).isAtMost(2);
  }

  @Test
  void shareOfCrashedEntryIsRedistributedWhenItsHostIsGone() {
    SimulatedFleet fleet = fleetOf(6);
    SimulatedEntry crashed = fleet.running().get(2);
    fleet.crash(crashed);
    fleet.run(JOIN_MILLIS * 2);
    assertThat(fleet.sumOfShares(240)).isEqualTo(220);
    fleet.setHost(crashed.member(), HostState.GONE);
    fleet.run(LONG_MILLIS);
    assertLimitsFullyAllocated(fleet);
  }

  @Test
  void storeOutageDoesNotReduceSharesWhileEntriesAreConnected() {
    SimulatedFleet fleet = fleetOf(8);
    fleet.setStoreDown(true);
    fleet.run(10 * LONG_MILLIS);
    assertLimitsFullyAllocated(fleet);
  }

  @Test
  void entryStartedDuringStoreOutageGetsShareFromOthers() {
    SimulatedFleet fleet = fleetOf(8);
    fleet.setStoreDown(true);
    fleet.run(LONG_MILLIS);
    SimulatedEntry late = fleet.startNew();
    fleet.run(JOIN_MILLIS);
    assertThat(late.membership().integerShare("x", 240)).isAtLeast(20);
    assertLimitsFullyAllocated(fleet);
    fleet.setStoreDown(false);
    fleet.run(LONG_MILLIS);
    assertThat(late.membership().status().registered()).isTrue();
    assertLimitsFullyAllocated(fleet);
  }

  @Test
  void entryWithoutStoreAndPeersKeepsItsGuaranteedPart() {
    SimulatedFleet fleet = fleetOf(8);
    SimulatedEntry isolated = fleet.running().get(3);
    isolated.cutStore(true);
    fleet
        .network()
        .addPartition(
            java.util.Set.of(isolated.id()),
            java.util.Set.copyOf(
                fleet.running().stream()
                    .filter(entry -> entry != isolated)
                    .map(SimulatedEntry::id)
                    .toList()));
    fleet.run(LONG_MILLIS);
    assertThat(isolated.membership().integerShare("x", 240)).isEqualTo(15);
    assertThat(isolated.membership().status().isolation()).isEqualTo(Isolation.SERVING_ALONE);
    assertThat(fleet.sumOfShares(240)).isEqualTo(240);
    isolated.cutStore(false);
    fleet.network().healPartitions();
    fleet.run(LONG_MILLIS);
    assertLimitsFullyAllocated(fleet);
  }

  @Test
  void pausedEntryLosesItsLeasedPart() {
    SimulatedFleet fleet = fleetOf(4);
    SimulatedEntry paused = fleet.running().get(1);
    int before = paused.membership().integerShare("x", 240);
    paused.loop().pause();
    fleet.run(LONG_MILLIS);
    assertThat(before).isEqualTo(60);
    assertThat(paused.membership().integerShare("x", 240)).isEqualTo(30);
    assertThat(fleet.sumOfShares(240)).isEqualTo(240);
    paused.loop().resume();
    fleet.run(LONG_MILLIS);
    assertLimitsFullyAllocated(fleet);
  }

  @Test
  void shareOfLeavingEntryIsRedistributedWithinSeconds() {
    SimulatedFleet fleet = fleetOf(5);
    fleet.running().get(0).leave();
    fleet.run(3000);
    assertThat(fleet.running()).hasSize(4);
    assertLimitsFullyAllocated(fleet);
  }

  @Test
  void restartedEntryRegainsItsShare() {
    SimulatedFleet fleet = fleetOf(5);
    fleet.restart(fleet.running().get(0));
    fleet.run(JOIN_MILLIS);
    assertThat(fleet.running()).hasSize(5);
    assertLimitsFullyAllocated(fleet);
  }

  private static long storeCallsInMinute(SimulatedFleet fleet) {
    long before = storeCalls(fleet);
    fleet.run(LONG_MILLIS);
    return storeCalls(fleet) - before;
  }

  private static long storeCalls(SimulatedFleet fleet) {
    return fleet.running().stream().mapToLong(SimulatedEntry::storeCalls).sum();
  }

  @Test
  void storeCallsGrowOnlyByLeaseRenewals() {
    long calls = storeCallsInMinute(fleetOf(6));
    long callsOfLarger = storeCallsInMinute(fleetOf(18));
    MembershipSettings settings = MembershipSettings.defaults();
    // Jitter shortens the renewal interval, a third of the lease, by at most a tenth.
    long renewals = LONG_MILLIS * 3 * 10 / (settings.leaseTtlMillis() * 9) + 1;
    assertThat(callsOfLarger - calls).isAtMost(12 * renewals);
  }

  @Test
  void oneEntryPerFailureDomainWatchesStoreAndIsReplacedAfterCrash() {
    SimulatedFleet fleet = fleetOf(18);
    assertThat(watchers(fleet)).isEqualTo(6);
    fleet.crash(fleet.running().get(0));
    fleet.run(JOIN_MILLIS);
    assertThat(watchers(fleet)).isEqualTo(6);
  }

  private static long watchers(SimulatedFleet fleet) {
    return fleet.running().stream()
        .filter(entry -> entry.membership().status().watchesStore())
        .count();
  }

  // Guards against a registration that is written once and never again, so that a new entry does
  // not count those of before a restore of the store.
  @Test
  void entriesRegisterAgainAfterTheStoreWasRestoredFromAnOlderCopy() {
    SimulatedFleet fleet = new SimulatedFleet(7);
    MemoryStore.Copy copy = fleet.memory().copy();
    for (int i = 0; i < 6; i++) {
      fleet.startNew();
    }
    fleet.run(JOIN_MILLIS);
    assertLimitsFullyAllocated(fleet);
    int before = fleet.memory().copy().entries().size();

    fleet.memory().restore(copy);
    fleet.run(LONG_MILLIS);

    assertThat(before).isEqualTo(6);
    assertThat(fleet.memory().copy().entries()).hasSize(before);
    fleet.startNew();
    fleet.run(LONG_MILLIS);
    assertLimitsFullyAllocated(fleet);
  }
}
