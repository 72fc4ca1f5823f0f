package org.wagtailpin.entrypeer.memory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.PeerIdentity;

/**
 * Network between entries of one process, with delay, loss, duplication and partitions.
 *
 * <p>All messages travel on one control loop, so a run with a seeded source of random numbers and
 * controlled time is repeatable. For use on that loop only.
 */
public final class MemoryPeerNetwork {

  private final ControlLoop loop;
  private final UniformRandomProvider random;
  private final Map<String, MemoryPeerMessenger> messengers = new HashMap<>();
  private final Map<String, Set<String>> blockedLinks = new HashMap<>();
  private NetworkFaults faults = NetworkFaults.none();
  private long deliveredCount;

  /**
   * Creates a network without entries.
   *
   * @param loop carries the messages
   * @param random decides on delays, losses and duplicates
   */
  public MemoryPeerNetwork(ControlLoop loop, UniformRandomProvider random) {
    this.loop = loop;
    this.random = random;
  }

  /**
   * Connects an entry, in place of one of the same identifier.
   *
   * @param self how the entry names itself
   * @param entryLoop runs the entry's handlers and completes its futures
   */
  public MemoryPeerMessenger connect(PeerIdentity self, ControlLoop entryLoop) {
    MemoryPeerMessenger messenger = new MemoryPeerMessenger(self, entryLoop, this);
    messengers.put(self.id(), messenger);
    return messenger;
  }

  /**
   * Takes an entry off the network, as a crash does.
   *
   * @param entry its identifier
   */
  public void disconnect(String entry) {
    messengers.remove(entry);
  }

  /**
   * Sets how messages are treated from now on.
   *
   * @param newFaults the faults
   */
  public void setFaults(NetworkFaults newFaults) {
    this.faults = newFaults;
  }

  /**
   * Cuts every link between two sets of entries, both ways.
   *
   * @param side identifiers of one side
   * @param otherSide identifiers of the other side
   */
  public void addPartition(Set<String> side, Set<String> otherSide) {
    for (String sideEntry : side) {
      for (String otherSideEntry : otherSide) {
        blockedLinks.computeIfAbsent(sideEntry, name -> new HashSet<>()).add(otherSideEntry);
        blockedLinks.computeIfAbsent(otherSideEntry, name -> new HashSet<>()).add(sideEntry);
      }
    }
  }

  /** Mends every link. */
  public void healPartitions() {
    blockedLinks.clear();
  }

  /** Returns how many messages have arrived so far. */
  public long deliveredCount() {
    return deliveredCount;
  }

  void send(String from, String to, MemoryMessage message) {
    boolean lost =
        blockedLinks.getOrDefault(from, Set.of()).contains(to)
            || random.nextDouble() < faults.lossProbability();
    if (lost) {
      return;
    }
    int copies = random.nextDouble() < faults.duplicateProbability() ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      loop.schedule(delayMillis(), () -> deliver(to, message));
    }
  }

  private long delayMillis() {
    long span = faults.maxDelayMillis() - faults.minDelayMillis();
    return faults.minDelayMillis() + random.nextLong(span + 1);
  }

  private void deliver(String to, MemoryMessage message) {
    MemoryPeerMessenger receiver = messengers.get(to);
    // An answer goes back on the connection of its request, so a restarted asker does not see it.
    if (receiver != null && message.receiver().map(receiver::equals).orElse(true)) {
      deliveredCount++;
      receiver.receive(message);
    }
  }
}
