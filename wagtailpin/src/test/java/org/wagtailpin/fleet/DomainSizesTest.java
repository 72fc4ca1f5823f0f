package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wagtailpin.store.memory.StoreFaults;

/**
 * Plays random faults of entries and of the store in fleets of several sizes while versions come,
 * and checks all the while that each entry in touch has each version that is older than the bound.
 */
class DomainSizesTest {

  private static final int[] DOMAINS = {1, 2, 6};
  private static final int[] ENTRIES = {2, 3, 5, 17};
  private static final int SEEDS = 3;
  private static final int STEPS = 30;
  private static final int FAULT_KINDS = 12;
  private static final long CHECK_MILLIS = 100;
  private static final long SETTLE_MILLIS = 8_000;
  private static final long GRACE_MILLIS = 6_000;
  private static final long MAX_PAUSE_MILLIS = 3_000;
  private static final long MAX_OUTAGE_MILLIS = 6_000;

  private record Version(int number, long acknowledgedMillis) {}

  private static final class Schedule {
    private final SimulatedDomains fleet;
    private final UniformRandomProvider random;
    private final Deque<Version> pending = new ArrayDeque<>();
    private final Set<DomainFleet> leaving = new HashSet<>();
    private final List<String> late = new ArrayList<>();
    private Optional<String> cutFromStore = Optional.empty();
    private int due;

    Schedule(int domains, int entries, long seed) {
      fleet = new SimulatedDomains(seed);
      random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      fleet.start(domains, entries);
      fleet.changeDocument();
      fleet.advance(SETTLE_MILLIS);
    }

    /** Returns what was late first, none if nothing was. */
    List<String> play() {
      for (int step = 0; step < STEPS && late.isEmpty(); step++) {
        disturb();
        advance(random.nextLong(MAX_PAUSE_MILLIS));
        for (int changes = random.nextInt(3); changes > 0; changes--) {
          change();
          advance(random.nextLong(MAX_PAUSE_MILLIS / 4));
        }
        if (random.nextInt(3) == 0) {
          advance(2 * SimulatedDomains.CALM_MILLIS);
        }
      }
      return late;
    }

    private void change() {
      pending.add(new Version(fleet.changeDocument(), fleet.clock().millis()));
    }

    private void advance(long millis) {
      for (long done = 0; done < millis; done += CHECK_MILLIS) {
        fleet.advance(CHECK_MILLIS);
        check();
      }
    }

    private void check() {
      long dueMillis = fleet.clock().millis() - SimulatedDomains.BOUND_MILLIS;
      while (!pending.isEmpty() && pending.peek().acknowledgedMillis() < dueMillis) {
        due = pending.remove().number();
      }
      for (SimulatedMember member : fleet.members()) {
        boolean inTouch =
            member.inTouch()
                && !cutFromStore.equals(Optional.of(member.id()))
                && !leaving.contains(member.membership());
        if (fleet.storeCalm() && inTouch && member.version() < due) {
          late.add(member.id() + " has " + member.version() + " for " + due);
        }
      }
    }

    private void disturb() {
      List<SimulatedMember> members = fleet.members();
      SimulatedMember any = members.get(random.nextInt(members.size()));
      List<SimulatedMember> watchers = fleet.watchers(any.domain());
      SimulatedMember member = watchers.isEmpty() || random.nextInt(3) == 0 ? any : watchers.get(0);
      if (!member.running()) {
        member.start(false);
      } else if (member.paused()) {
        member.resume();
      } else {
        disturb(member);
      }
    }

    private void disturb(SimulatedMember member) {
      switch (random.nextInt(FAULT_KINDS)) {
        case 0 -> member.kill();
        case 1 -> member.pause();
        case 2 -> {
          fleet.endStoreCuts();
          fleet.cutFromStore(member.id(), true);
          cutFromStore = Optional.of(member.id());
        }
        case 3 -> member.cutFromPeers();
        case 4 -> fleet.members().forEach(SimulatedMember::reconnect);
        case 5 -> leave(member);
        case 6 -> fleet.members().forEach(SimulatedMember::loseWatchAnswer);
        case 7 -> harmStore(faults -> faults.lostAnswers(0.4));
        case 8 -> harmStore(faults -> faults.delay(300));
        case 9 -> harmStore(faults -> faults.slowWatch(100, 0.5));
        case 10 -> {
          fleet.endStoreCuts();
          cutFromStore = Optional.empty();
        }
        default -> {
          fleet.setStoreDown(true);
          advance(random.nextLong(MAX_OUTAGE_MILLIS));
          fleet.setStoreDown(false);
        }
      }
    }

    private void leave(SimulatedMember member) {
      DomainFleet membership = member.membership();
      leaving.add(membership);
      membership.announceLeaving();
      fleet
          .loop()
          .schedule(
              GRACE_MILLIS,
              () -> {
                if (member.running() && member.membership() == membership) {
                  member.kill();
                }
              });
    }

    private void harmStore(UnaryOperator<StoreFaults.Builder> harm) {
      fleet.harmStore(Optional.of(harm));
      change();
      advance(random.nextLong(MAX_OUTAGE_MILLIS));
      change();
      advance(random.nextLong(MAX_PAUSE_MILLIS / 10));
      fleet.harmStore(Optional.empty());
    }
  }

  private static void assertInTime(int domains, int entries, long seed) {
    assertWithMessage("%s domains of %s, seed %s", domains, entries, seed)
        .that(new Schedule(domains, entries, seed).play())
        .isEmpty();
  }

  @Test
  void versionsAreInForceInTimeInFleetsOfAllSizes() {
    for (int domains : DOMAINS) {
      for (int entries : ENTRIES) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          assertInTime(domains, entries, seed);
        }
      }
    }
  }

  @Test
  void aVersionIsInForceInTimeWhenAWatcherIsKilledAfterAllWatchesLostAnAnswer() {
    assertInTime(6, 3, 2);
  }
}
