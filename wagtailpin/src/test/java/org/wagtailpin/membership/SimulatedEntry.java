package org.wagtailpin.membership;

import org.wagtailpin.entrypeer.PeerIdentity;

/** One entry of a simulated fleet, with methods to inject faults. */
final class SimulatedEntry {

  private final Member member;
  private final PausableControlLoop loop;
  private final OffsetClock clock;
  private final UnreliableStore store;
  private final Membership membership;
  private StoreLinkState storeLink = StoreLinkState.OPEN;
  private boolean left;

  SimulatedEntry(
      Member member,
      PausableControlLoop loop,
      OffsetClock clock,
      SimulatedFleet fleet,
      SimulatedFleet.MessengerFactory messengerFactory) {
    this.member = member;
    this.loop = loop;
    this.clock = clock;
    this.store =
        new UnreliableStore(
            fleet.store(),
            fleet.random(),
            () -> fleet.storeDown() ? StoreLinkState.LOSES_ANSWERS : storeLink);
    this.membership =
        fleet.newMembership(
            member,
            messengerFactory.newMessenger(
                new PeerIdentity(member.id(), member.incarnation()), loop, fleet.network()),
            store,
            loop,
            clock);
  }

  String id() {
    return member.id();
  }

  Member member() {
    return member;
  }

  Membership membership() {
    return membership;
  }

  PausableControlLoop loop() {
    return loop;
  }

  OffsetClock clock() {
    return clock;
  }

  long storeCalls() {
    return store.calls();
  }

  void cutStore(boolean cut) {
    storeLink = cut ? StoreLinkState.CUT : StoreLinkState.OPEN;
  }

  void loseStoreAnswers() {
    storeLink = StoreLinkState.LOSES_ANSWERS;
  }

  void leave() {
    var unused = membership.leave().thenRun(() -> left = true);
  }

  boolean left() {
    return left;
  }
}
