package org.wagtailpin.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wagtailpin.entrypeer.PeerHandler;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * Plays random faults of entries and of the store while the document changes, and checks that each
 * change is in force in time at all entries in touch, and never goes back at any entry.
 */
class DomainScheduleTest {

  private static final int DOMAINS = 9;
  private static final int ENTRIES_PER_DOMAIN = 17;
  private static final int SCHEDULES = 12;
  private static final int STEPS = 25;
  private static final long SETTLE_MILLIS = 8_000;
  private static final long MAX_PAUSE_MILLIS = 4_000;
  private static final int FAULT_KINDS = 6;

  /** Loses what a watcher pushes and what followers pull. */
  private record MutedMessenger(PeerMessenger base) implements PeerMessenger {
    @Override
    public String self() {
      return base.self();
    }

    @Override
    public CompletableFuture<PeerReply> request(
        String entry, PeerFrame.Builder frame, long timeoutMillis) {
      boolean muted =
          frame.getBodyCase() == PeerFrame.BodyCase.CONFIG_PUSH
              || frame.getBodyCase() == PeerFrame.BodyCase.CONFIG_PULL;
      return muted ? new CompletableFuture<>() : base.request(entry, frame, timeoutMillis);
    }

    @Override
    public void setHandler(PeerFrame.BodyCase body, PeerHandler handler) {
      base.setHandler(body, handler);
    }
  }

  private static SimulatedDomains started(long seed, SimulatedDomains.MessengerWrapper wrapper) {
    SimulatedDomains fleet = new SimulatedDomains(seed, wrapper);
    fleet.start(DOMAINS, ENTRIES_PER_DOMAIN);
    fleet.changeDocument();
    fleet.advance(SETTLE_MILLIS);
    return fleet;
  }

  /** Makes a change, and returns the entries in touch at which it is not in force in time. */
  private static List<String> lateEntries(SimulatedDomains fleet) {
    boolean calm = fleet.storeCalm();
    List<SimulatedMember> before =
        fleet.members().stream().filter(SimulatedMember::inTouch).toList();
    int version = fleet.changeDocument();
    fleet.advance(SimulatedDomains.BOUND_MILLIS);
    List<String> late = new ArrayList<>();
    for (SimulatedMember member : before) {
      if (calm && fleet.storeCalm() && member.inTouch() && member.version() < version) {
        late.add(member.id() + " at " + member.version() + " for " + version);
      }
    }
    return late;
  }

  /** Injects or ends a fault, often one of a watcher. */
  private static void disturb(SimulatedDomains fleet, UniformRandomProvider random) {
    List<SimulatedMember> members = fleet.members();
    SimulatedMember any = members.get(random.nextInt(members.size()));
    List<SimulatedMember> watchers = fleet.watchers(any.domain());
    SimulatedMember member = watchers.isEmpty() || random.nextInt(3) == 0 ? any : watchers.get(0);
    if (!member.running()) {
      member.start(false);
      return;
    }
    if (member.paused()) {
      member.resume();
      return;
    }
    switch (random.nextInt(FAULT_KINDS)) {
      case 0 -> member.kill();
      case 1 -> member.pause();
      case 2 -> {
        fleet.endStoreCuts();
        fleet.cutFromStore(member.id(), true);
      }
      case 3 -> member.cutFromPeers();
      case 4 -> fleet.members().forEach(SimulatedMember::reconnect);
      default -> member.membership().announceLeaving();
    }
  }

  @Test
  void changesAreInForceInTimeAndNeverGoBackUnderRandomFaultsOfEntries() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      SimulatedDomains fleet = started(seed, messenger -> messenger);
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      for (int step = 0; step < STEPS; step++) {
        disturb(fleet, random);
        fleet.advance(random.nextLong(MAX_PAUSE_MILLIS));
        assertWithMessage("seed " + seed + " step " + step).that(lateEntries(fleet)).isEmpty();
      }
    }
  }

  @Test
  void changesAreInForceInTimeAfterRandomOutagesOfTheStore() {
    for (long seed = 1; seed <= SCHEDULES; seed++) {
      SimulatedDomains fleet = started(seed, messenger -> messenger);
      UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
      for (int step = 0; step < STEPS / 4; step++) {
        fleet.setStoreDown(true);
        fleet.advance(random.nextLong(4 * MAX_PAUSE_MILLIS));
        disturb(fleet, random);
        fleet.setStoreDown(false);
        fleet.advance(SimulatedDomains.CALM_MILLIS);
        assertWithMessage("seed " + seed + " step " + step).that(lateEntries(fleet)).isEmpty();
      }
    }
  }

  @Test
  void allProcessesKilledAtOnceLearnTheStateAgain() {
    SimulatedDomains fleet = started(1, messenger -> messenger);
    fleet.members().forEach(SimulatedMember::kill);
    fleet.members().forEach(member -> member.start(false));
    fleet.advance(SimulatedDomains.CALM_MILLIS);

    assertThat(lateEntries(fleet)).isEmpty();
    for (SimulatedMember member : fleet.members()) {
      assertWithMessage(member.id()).that(member.version()).isEqualTo(fleet.version());
    }
  }

  @Test
  void theCheckFailsIfWatchersTellNothing() {
    SimulatedDomains fleet = started(1, MutedMessenger::new);

    assertThat(lateEntries(fleet)).isNotEmpty();
  }
}
