package org.wagtailpin.claims;

import java.util.Collection;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.PeerIdentity;
import org.wagtailpin.entrypeer.memory.MemoryPeerNetwork;
import org.wagtailpin.store.Store;

/** One incarnation of an entry that makes claims, driven by a manual clock. */
final class ClaimEntry {

  private final String id;
  private final PausableLoop loop;
  private final ManualMembership membership;
  private final RefusingMessenger messenger;
  private final ShardedClaims claims;

  ClaimEntry(
      String id,
      long incarnation,
      Collection<String> live,
      ClaimSettings settings,
      Store store,
      MemoryPeerNetwork network,
      Clock clock,
      ControlLoop timeline,
      UniformRandomProvider random) {
    this.id = id;
    this.loop = new PausableLoop(timeline);
    this.membership = new ManualMembership(id, live);
    this.messenger =
        new RefusingMessenger(network.connect(new PeerIdentity(id, incarnation), loop));
    this.claims =
        new ShardedClaims(settings, incarnation, store, messenger, membership, clock, loop, random);
  }

  String id() {
    return id;
  }

  PausableLoop loop() {
    return loop;
  }

  ManualMembership membership() {
    return membership;
  }

  RefusingMessenger messenger() {
    return messenger;
  }

  ShardedClaims claims() {
    return claims;
  }
}
