package org.wagtailpin.entrypeer.memory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.PeerIdentity;

/**
 * Simulated network between entries in one process, with delay, loss, duplication and partitions.
 *
 * <p>All messages are delivered on one control loop, so a run with a seeded random number generator
 * and a manual clock is repeatable. Must be used on that loop only.
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
   * @param loop delivers the messages
   * @param random source of delays, losses and duplicates
   */
  public MemoryPeerNetwork(ControlLoop loop, UniformRandomProvider random) {
    this.loop = loop;
    this.random = random;
  }

  /**
   * Connects an entry; replaces a connected entry with the same identifier.
   *
   * @param self the identity of the entry
   * @param entryLoop runs the entry's handlers and completes its futures
   */
  public MemoryPeerMessenger connect(PeerIdentity self, ControlLoop entryLoop) {
    MemoryPeerMessenger messenger = new MemoryPeerMessenger(self, entryLoop, this);
    messengers.put(self.id(), messenger);
    return messenger;
  }

  /**
   * Disconnects an entry, as a crash would. Messages that arrive while it is disconnected are lost.
   *
   * @param entry the identifier of the entry
   */
  public void disconnect(String entry) {
    messengers.remove(entry);
  }

  /**
   * Sets the delay, loss and duplication of messages that are sent from now on.
   *
   * @param newFaults the faults to simulate
   */
  public void setFaults(NetworkFaults newFaults) {
    this.faults = newFaults;
  }

  /**
   * Blocks all messages between two sets of entries, in both directions. Messages in transit still
   * arrive, and earlier partitions stay.
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

  /** Removes all partitions. */
  public void healPartitions() {
    blockedLinks.clear();
  }

  /** Returns the number of messages delivered so far, duplicates included. */
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
    // An answer uses the connection of its request, so a restarted requester does not receive it.
    if (receiver != null && message.receiver().map(receiver::equals).orElse(true)) {
      deliveredCount++;
      receiver.receive(message);
    }
  }
}
