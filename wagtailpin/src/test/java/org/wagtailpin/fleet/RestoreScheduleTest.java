package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wagtailpin.store.memory.MemoryStore;

/**
 * Restores the store from older copies while entries are killed, paused and cut off. No entry goes
 * back to an earlier version, which {@link SimulatedMember} checks after each task, and all entries
 * in touch end with the operator's last version and the servers that registered again.
 */
class RestoreScheduleTest {

  private static final int DOMAINS = 5;
  private static final int ENTRIES_PER_DOMAIN = 5;
  private static final int SCHEDULES = 12;
  private static final int STEPS = 8;
  private static final int SERVERS = 6;
  private static final long SETTLE_MILLIS = 8_000;
  private static final long MAX_PAUSE_MILLIS = 3_000;
  private static final int FAULT_KINDS = 4;

  private final Set<String> registered = new TreeSet<>();
  private long sequence;

  private SimulatedDomains started(long seed) {
    SimulatedDomains fleet = new SimulatedDomains(seed);
    fleet.start(DOMAINS, ENTRIES_PER_DOMAIN);
    registered.clear();
    for (int i = 0; i < SERVERS; i++) {
      register(fleet, "s" + i);
    }
    fleet.changeDocument();
    fleet.advance(SETTLE_MILLIS);
    return fleet;
  }

  private void register(SimulatedDomains fleet, String server) {
    sequence++;
    registered.add(server);
    fleet.register(server, "staying 1 " + sequence);
  }

  private static void disturb(SimulatedDomains fleet, UniformRandomProvider random) {
    SimulatedMember member = fleet.members().get(random.nextInt(fleet.members().size()));
    if (!member.running()) {
      member.start(false);
    } else if (member.paused()) {
      member.resume();
    } else {
      switch (random.nextInt(FAULT_KINDS)) {
        case 0 -> member.kill();
        case 1 -> member.pause();
        case 2 -> {
          fleet.endStoreCuts();
          fleet.cutFromStore(member.id(), true);
        }
        default -> fleet.members().forEach(SimulatedMember::reconnect);
      }
    }
  }

  private void assertSettled(SimulatedDomains fleet, String step) {
    for (SimulatedMember member : fleet.members()) {
      if (member.inTouch()) {
        assertWithMessage(step + " " + member.id())
            .that(member.version())
            .isEqualTo(fleet.version());
        assertWithMessage(step + " " + member.id())
            .that(member.servers())
            .containsExactlyElementsIn(registered);
      }
    }
  }

  @Test
  void noEntryGoesBackAndAllEndWithWhatWasWrittenAgain() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      SimulatedDomains fleet = started(seed);
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      for (int step = 0; step < STEPS; step++) {
        MemoryStore.Copy copy = fleet.store().copy();
        fleet.changeDocument();
        register(fleet, "s" + random.nextInt(2 * SERVERS));
        fleet.advance(random.nextLong(MAX_PAUSE_MILLIS));
        disturb(fleet, random);
        fleet.restoreStore(copy);
        fleet.advance(random.nextLong(MAX_PAUSE_MILLIS / 10));
        if (random.nextInt(3) == 0) {
          fleet.restoreStore(copy);
        }
        if (random.nextBoolean()) {
          disturb(fleet, random);
        }
        fleet.rewriteDocument();
        Set.copyOf(registered).forEach(server -> register(fleet, server));
        fleet.advance(SETTLE_MILLIS);
        assertSettled(fleet, "seed " + seed + " step " + step);
      }
    }
  }

  @Test
  void serversThatDoNotRegisterAgainAreGoneEverywhere() {
    SimulatedDomains fleet = new SimulatedDomains(1);
    fleet.start(DOMAINS, ENTRIES_PER_DOMAIN);
    fleet.changeDocument();
    fleet.advance(SETTLE_MILLIS);
    MemoryStore.Copy copy = fleet.store().copy();
    register(fleet, "a");
    register(fleet, "b");
    fleet.changeDocument();
    fleet.advance(SimulatedDomains.BOUND_MILLIS);
    fleet.restoreStore(copy);
    fleet.advance(SimulatedDomains.BOUND_MILLIS / 2);
    for (SimulatedMember member : fleet.members()) {
      assertWithMessage(member.id()).that(member.servers()).containsExactly("a", "b");
    }

    register(fleet, "a");
    fleet.advance(SETTLE_MILLIS);

    for (SimulatedMember member : fleet.members()) {
      assertWithMessage(member.id()).that(member.servers()).containsExactly("a");
      assertWithMessage(member.id()).that(member.version()).isEqualTo(fleet.version());
    }
    assertThat(fleet.version()).isEqualTo(2);
  }
}
