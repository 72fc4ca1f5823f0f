package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.wagtailpin.entrypeer.memory.NetworkFaults;

class DomainFleetTest {

  private static final long SETTLE_MILLIS = 15_000;
  private static final long REST_MILLIS = 30_000;
  private static final int ROUNDS = 4;
  private static final long CUT_MILLIS = 3_400;
  private static final int MAX_CALLS_PER_DOMAIN_AT_REST = 6;

  private static SimulatedDomains started(int domains, int entriesPerDomain) {
    SimulatedDomains fleet = new SimulatedDomains(1);
    fleet.start(domains, entriesPerDomain);
    fleet.changeDocument();
    fleet.register("a", "staying 1 1");
    fleet.advance(SETTLE_MILLIS);
    return fleet;
  }

  private static SimulatedMember watcher(SimulatedDomains fleet, String domain) {
    List<SimulatedMember> watchers = fleet.watchers(domain);
    assertThat(watchers).hasSize(1);
    return watchers.get(0);
  }

  /** Changes the document, and checks that all others have it in time. */
  private static void changeReachesAllBut(SimulatedDomains fleet, SimulatedMember disturbed) {
    int version = fleet.changeDocument();
    fleet.advance(SimulatedDomains.BOUND_MILLIS);
    for (SimulatedMember member : fleet.members()) {
      if (member != disturbed) {
        assertWithMessage(member.id()).that(member.version()).isEqualTo(version);
      }
    }
  }

  @Test
  void oneEntryOfEachDomainWatchesTheStoreAndAllHaveItsState() {
    SimulatedDomains fleet = started(4, 5);

    for (String domain : fleet.domains()) {
      assertThat(fleet.watchers(domain)).hasSize(1);
    }
    for (SimulatedMember member : fleet.members()) {
      assertThat(member.version()).isEqualTo(1);
      assertThat(member.servers()).containsExactly("a");
    }
  }

  @Test
  void storeCallsAtRestGrowWithDomainsAndNotWithEntries() {
    for (int entriesPerDomain : new int[] {4, 17}) {
      SimulatedDomains fleet = started(9, entriesPerDomain);
      int before = fleet.storeCalls();
      fleet.advance(REST_MILLIS);

      assertThat(fleet.storeCalls() - before).isAtMost(MAX_CALLS_PER_DOMAIN_AT_REST * 9);
    }
  }

  @Test
  void theSizeOfTheFleetIsKnownToAll() {
    SimulatedDomains fleet = started(9, 17);
    fleet.advance(REST_MILLIS);

    for (SimulatedMember member : fleet.members()) {
      assertWithMessage(member.id()).that(member.membership().fleetSize()).isEqualTo(9 * 17);
    }
  }

  @Test
  void aChangeIsInForceInTimeWhenAWatcherWasKilled() {
    SimulatedDomains fleet = started(3, 5);
    SimulatedMember watcher = watcher(fleet, "d1");
    watcher.kill();

    changeReachesAllBut(fleet, watcher);
    fleet.advance(SETTLE_MILLIS);
    assertThat(fleet.watchers("d1")).hasSize(1);
  }

  @Test
  void aChangeIsInForceInTimeWhenAWatcherIsFrozenAndOnlyOneWatchesAfterIt() {
    SimulatedDomains fleet = started(3, 5);
    SimulatedMember watcher = watcher(fleet, "d1");
    watcher.pause();

    changeReachesAllBut(fleet, watcher);
    watcher.resume();
    fleet.advance(SETTLE_MILLIS);
    assertThat(fleet.watchers("d1")).hasSize(1);
    assertThat(watcher.version()).isEqualTo(fleet.version());
  }

  @Test
  void aChangeIsInForceInTimeWhenAWatcherIsCutOffFromTheOtherEntries() {
    SimulatedDomains fleet = started(3, 5);
    SimulatedMember watcher = watcher(fleet, "d1");
    watcher.cutFromPeers();

    changeReachesAllBut(fleet, watcher);
  }

  @Test
  void aChangeIsInForceInTimeWhenAWatcherIsCutOffFromTheStore() {
    for (long beforeMillis : new long[] {0, 300, 1_000, 5_000}) {
      SimulatedDomains fleet = started(3, 5);
      SimulatedMember watcher = watcher(fleet, "d1");
      fleet.cutFromStore(watcher.id(), true);
      fleet.advance(beforeMillis);

      changeReachesAllBut(fleet, watcher);
    }
  }

  @Test
  void aWatcherThatLeavesIsReplacedBeforeItEnds() {
    SimulatedDomains fleet = started(3, 5);
    SimulatedMember watcher = watcher(fleet, "d1");
    watcher.membership().announceLeaving();
    fleet.advance(SimulatedDomains.BOUND_MILLIS);

    assertThat(watcher(fleet, "d1")).isNotEqualTo(watcher);
    watcher.membership().leave();
    watcher.kill();
    changeReachesAllBut(fleet, watcher);
  }

  @Test
  void anEntryThatKnowsNobodyWatchesTheStoreItself() {
    SimulatedDomains fleet = started(3, 3);
    fleet.seeds().forEach(seed -> fleet.member(seed).kill());
    SimulatedMember late = fleet.add("d2-9", "d2");
    fleet.advance(SimulatedDomains.BOUND_MILLIS);

    assertThat(late.version()).isEqualTo(fleet.version());
    assertThat(late.servers()).containsExactly("a");
  }

  @Test
  void aRestartedEntryLearnsFromItsWatcherWithoutACallToTheStore() {
    SimulatedDomains fleet = started(3, 5);
    SimulatedMember follower =
        fleet.members().stream().filter(member -> !member.watching()).findFirst().orElseThrow();
    follower.kill();
    fleet.advance(SimulatedDomains.CALM_MILLIS);
    int before = fleet.storeCalls();
    follower.start(false);
    fleet.advance(SimulatedDomains.BOUND_MILLIS);

    assertThat(follower.version()).isEqualTo(fleet.version());
    assertThat(fleet.storeCalls()).isEqualTo(before);
  }

  /** Guards against all entries listing the store when they start together on busy hosts. */
  @Test
  void anEntryWhoseSeedsAnswerLateDoesNotListTheStore() {
    SimulatedDomains fleet = started(3, 5);
    SimulatedMember follower =
        fleet.members().stream().filter(member -> !member.watching()).findFirst().orElseThrow();
    follower.kill();
    fleet.advance(SimulatedDomains.CALM_MILLIS);
    fleet.network().setFaults(new NetworkFaults(150, 170, 0, 0));
    int before = follower.storeCalls();
    follower.start(false);
    fleet.advance(SimulatedDomains.BOUND_MILLIS);

    assertThat(follower.version()).isEqualTo(fleet.version());
    assertThat(follower.storeCalls()).isEqualTo(before);
  }

  @Test
  void aServerThatLeftDoesNotComeBackWithAnEntryThatMissedIt() {
    SimulatedDomains fleet = started(2, 3);
    SimulatedMember apart = fleet.member("d1-2");
    apart.cutFromPeers();
    fleet.cutFromStore(apart.id(), true);
    fleet.deregister("a");
    fleet.advance(SETTLE_MILLIS);
    // No process is left that has seen the server and its removal.
    for (SimulatedMember member : fleet.members()) {
      if (member != apart) {
        member.kill();
        member.start(false);
      }
    }
    fleet.advance(SETTLE_MILLIS);
    assertThat(apart.servers()).containsExactly("a");
    apart.reconnect();

    for (int i = 0; i < SETTLE_MILLIS / SimulatedDomains.BOUND_MILLIS; i++) {
      fleet.advance(SimulatedDomains.BOUND_MILLIS);
      for (SimulatedMember member : fleet.members()) {
        if (member != apart) {
          assertWithMessage(member.id()).that(member.servers()).isEmpty();
        }
      }
    }
    assertThat(apart.servers()).isEmpty();
  }

  @Test
  void anOlderRegistrationThatArrivesLateIsNotTakenByANewWatcher() {
    SimulatedDomains fleet = started(1, 3);
    fleet.register("a", "leaving 1 7");
    fleet.advance(SimulatedDomains.BOUND_MILLIS);
    SimulatedMember watcher = watcher(fleet, "d0");
    watcher.kill();
    // Written to the store late, by a call that was sent before the server began to leave.
    fleet.register("a", "staying 1 6");
    fleet.advance(SETTLE_MILLIS);

    for (SimulatedMember member : fleet.members()) {
      if (member != watcher) {
        assertWithMessage(member.id()).that(member.leavingServers()).containsExactly("a");
      }
    }
  }

  @Test
  void aStoreOutageCausesFewCallsAndIsNoticedWhenItEnds() {
    SimulatedDomains fleet = started(3, 17);
    int before = fleet.storeCalls();
    fleet.setStoreDown(true);
    fleet.advance(REST_MILLIS);
    int during = fleet.storeCalls() - before;
    fleet.setStoreDown(false);
    fleet.advance(SimulatedDomains.CALM_MILLIS);

    changeReachesAllBut(fleet, null);
    // An entry of its own retry loop would call more than once a second.
    assertThat(during).isLessThan((int) (3 * 17 * REST_MILLIS / 1_000 / 4));
  }

  // Guards against work on a server that left: removals were held back after the open connections
  // to
  // the store went silent, as if the store had been away.
  @Test
  void aServerIsGoneInTimeWhenItsRemovalFollowsSilentConnectionsToTheStore() {
    for (int domains : new int[] {1, 3, 6, 9}) {
      for (long calmMillis = 0; calmMillis < 3_000; calmMillis += 250) {
        SimulatedDomains fleet = started(domains, 3);
        fleet.advance(calmMillis);
        fleet.silenceStoreConnections();
        fleet.advance(500);
        fleet.deregister("a");
        fleet.advance(SimulatedDomains.CALM_MILLIS - 500);

        for (SimulatedMember member : fleet.members()) {
          assertWithMessage("%s of %s domains, after %s ms", member.id(), domains, calmMillis)
              .that(member.servers())
              .isEmpty();
        }
      }
    }
  }

  // Guards against a version that came into force too late at followers: in the only domain, nobody
  // else passed on a change while their watcher did not yet know that it was cut from the store.
  @Test
  void aChangeIsInForceInTimeWhenTheOnlyWatcherOfTheFleetIsCutOffFromTheStore() {
    for (int entries : new int[] {2, 3, 5, 17}) {
      for (long calmMillis = 0; calmMillis < 1_000; calmMillis += 90) {
        SimulatedDomains fleet = started(1, entries);
        fleet.advance(calmMillis);
        for (int round = 0; round < ROUNDS; round++) {
          SimulatedMember watcher = watcher(fleet, "d0");
          fleet.cutFromStore(watcher.id(), true);
          fleet.advance(100);
          changeReachesAllBut(fleet, watcher);
          fleet.advance(CUT_MILLIS);
          fleet.endStoreCuts();
          fleet.advance(SETTLE_MILLIS);
        }
      }
    }
  }

  // Guards against versions that were not in force for half a minute: the store's answer to the
  // waiting watches was lost, while tests on other connections went on to be answered.
  @Test
  void changesAreInForceInTimeAfterTheAnswersOfAllWaitingWatchesWereLost() {
    for (int domains : new int[] {1, 2, 6}) {
      for (long calmMillis = 0; calmMillis < 3_000; calmMillis += 250) {
        SimulatedDomains fleet = started(domains, 3);
        fleet.advance(calmMillis);
        fleet.members().forEach(SimulatedMember::loseWatchAnswer);
        int lost = fleet.changeDocument();
        fleet.advance(SimulatedDomains.CALM_MILLIS);

        for (SimulatedMember member : fleet.members()) {
          assertWithMessage("%s of %s domains, after %s ms", member.id(), domains, calmMillis)
              .that(member.version())
              .isEqualTo(lost);
        }
        changeReachesAllBut(fleet, null);
      }
    }
  }

  // Guards against a lost watch that was noticed later than a change has to be in force.
  @Test
  void aChangeIsInForceInTimeWhileTheConnectionsOfAllWaitingWatchesAreSilent() {
    for (int domains : new int[] {1, 2, 6}) {
      for (long calmMillis = 0; calmMillis < 1_500; calmMillis += 50) {
        SimulatedDomains fleet = started(domains, 3);
        fleet.members().forEach(SimulatedMember::loseWatchAnswer);
        fleet.advance(SimulatedDomains.CALM_MILLIS + calmMillis);

        changeReachesAllBut(fleet, null);
      }
    }
  }

  // Guards against a domain without a watcher: one that had replaced another long ago gave way to
  // that one with the next loss of the store, whether or not it still watched or ran.
  @Test
  void aWatcherThatReplacedAnotherLongAgoKeepsWatchingThroughALossOfTheStore() {
    for (long downMillis = 500; downMillis <= 5_000; downMillis += 500) {
      SimulatedDomains fleet = started(1, 2);
      SimulatedMember replaced = watcher(fleet, "d0");
      fleet.cutFromStore(replaced.id(), true);
      fleet.advance(SETTLE_MILLIS);
      replaced.kill();
      fleet.advance(SETTLE_MILLIS);
      fleet.setStoreDown(true);
      fleet.advance(downMillis);
      int missed = fleet.changeDocument();
      fleet.setStoreDown(false);
      fleet.advance(SimulatedDomains.CALM_MILLIS);

      for (SimulatedMember member : fleet.members()) {
        if (member != replaced) {
          assertWithMessage("%s after %s ms", member.id(), downMillis)
              .that(member.version())
              .isEqualTo(missed);
        }
      }
      changeReachesAllBut(fleet, replaced);
    }
  }

  // Guards against followers that didn't test the store for 5 s after a test in an outage, while
  // their watcher was cut from the store that had returned.
  @Test
  void aChangeIsInForceInTimeWhenTheWatcherIsCutOffSoonAfterAnOutageOfTheStore() {
    for (long calmMillis = 900; calmMillis < 5_400; calmMillis += 300) {
      SimulatedDomains fleet = started(1, 2);
      fleet.setStoreDown(true);
      fleet.advance(1_500);
      fleet.setStoreDown(false);
      fleet.advance(calmMillis);
      SimulatedMember watcher = watcher(fleet, "d0");
      fleet.cutFromStore(watcher.id(), true);
      fleet.advance(100);
      int version = fleet.changeDocument();
      long untilCalmMillis = SimulatedDomains.CALM_MILLIS - calmMillis - 100;
      fleet.advance(Math.max(SimulatedDomains.BOUND_MILLIS, untilCalmMillis));

      for (SimulatedMember member : fleet.members()) {
        if (member != watcher) {
          assertWithMessage("%s, cut after %s ms", member.id(), calmMillis)
              .that(member.version())
              .isEqualTo(version);
        }
      }
    }
  }

  @Test
  void ofSeveralWatchersOfTheOnlyDomainOneRemains() {
    for (int entries : new int[] {5, 8, 12, 17}) {
      for (int seed = 1; seed <= 5; seed++) {
        SimulatedDomains fleet = new SimulatedDomains(seed);
        fleet.start(1, entries);
        fleet.advance(SETTLE_MILLIS);

        assertWithMessage("%s entries, seed %s", entries, seed)
            .that(fleet.watchers("d0"))
            .hasSize(1);
      }
    }
  }
}
