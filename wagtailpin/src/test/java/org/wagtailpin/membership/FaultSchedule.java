package org.wagtailpin.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.hostlist.HostState;

/** Injects random faults into a simulated fleet, some while earlier ones are still active. */
final class FaultSchedule {

  private static final int MIN_ENTRIES = 3;
  private static final int MAX_ENTRIES = 20;
  private static final int FAULT_KINDS = 13;
  private static final long MAX_FAULT_INTERVAL_MILLIS = 12_000;
  private static final long MAX_HOST_LIST_LAG_MILLIS = 40_000;
  private static final long MAX_CLOCK_JUMP_MILLIS = 3_600_000;

  private final SimulatedFleet fleet;
  private final UniformRandomProvider random;

  FaultSchedule(SimulatedFleet fleet) {
    this.fleet = fleet;
    this.random = fleet.random();
  }

  /** Injects or ends a fault, and then advances the time by a random interval. */
  void next() {
    injectFault(random.nextInt(FAULT_KINDS));
    fleet.run(random.nextLong(MAX_FAULT_INTERVAL_MILLIS));
  }

  private void injectFault(int kind) {
    switch (kind) {
      case 0, 1 -> join();
      case 2 -> crash();
      case 3 -> anyEntry().loop().pause();
      case 4 -> fleet.running().forEach(entry -> entry.loop().resume());
      case 5 -> anyEntry().cutStore(true);
      case 6 -> cutNetwork();
      case 7 -> cutBoth();
      case 8 -> fleet.setStoreDown(!fleet.storeDown());
      case 9 -> restoreConnections();
      case 10 -> leave();
      case 11 -> anyEntry().loseStoreAnswers();
      default -> restartOrJumpClock();
    }
  }

  private SimulatedEntry anyEntry() {
    List<SimulatedEntry> running = fleet.running();
    return running.get(random.nextInt(running.size()));
  }

  private void join() {
    if (fleet.running().size() < MAX_ENTRIES) {
      fleet.startNew();
    }
  }

  private void crash() {
    if (fleet.running().size() > MIN_ENTRIES) {
      SimulatedEntry entry = anyEntry();
      fleet.crash(entry);
      fleet.runLater(
          random.nextLong(MAX_HOST_LIST_LAG_MILLIS),
          () -> fleet.setHost(entry.member(), HostState.GONE));
    }
  }

  private void leave() {
    SimulatedEntry entry = anyEntry();
    if (fleet.running().size() > MIN_ENTRIES && !entry.loop().paused()) {
      entry.leave();
      fleet.runLater(
          random.nextLong(MAX_HOST_LIST_LAG_MILLIS),
          () -> fleet.setHost(entry.member(), HostState.GONE));
    }
  }

  private void restartOrJumpClock() {
    if (random.nextBoolean()) {
      fleet.restart(anyEntry());
    } else {
      fleet.clock().jumpWall(random.nextLong(2 * MAX_CLOCK_JUMP_MILLIS) - MAX_CLOCK_JUMP_MILLIS);
    }
  }

  private void cutNetwork() {
    Set<String> some = someEntries();
    Set<String> others = new HashSet<>();
    fleet.running().forEach(entry -> others.add(entry.id()));
    others.removeAll(some);
    fleet.network().addPartition(some, others);
  }

  private void cutBoth() {
    SimulatedEntry entry = anyEntry();
    entry.cutStore(true);
    Set<String> others = new HashSet<>();
    fleet.running().forEach(other -> others.add(other.id()));
    others.remove(entry.id());
    fleet.network().addPartition(Set.of(entry.id()), others);
  }

  private Set<String> someEntries() {
    Set<String> some = new HashSet<>();
    for (SimulatedEntry entry : fleet.running()) {
      if (random.nextBoolean()) {
        some.add(entry.id());
      }
    }
    return some;
  }

  private void restoreConnections() {
    fleet.network().healPartitions();
    fleet.running().forEach(entry -> entry.cutStore(false));
  }

  /** Ends all network and store faults and all pauses. Crashed entries stay down. */
  void endFaults() {
    restoreConnections();
    fleet.setStoreDown(false);
    fleet.running().forEach(entry -> entry.loop().resume());
  }
}
