package org.wagtailpin.membership;

import org.wagtailpin.entrypeer.PeerIdentity;

/** One entry of a simulated fleet, with the means to disturb it. */
final class SimulatedEntry {

  private final Member member;
  private final EntryLoop loop;
  private final OffsetClock clock;
  private final CuttableStore store;
  private final Membership membership;
  private StoreWay storeWay = StoreWay.OPEN;
  private boolean left;

  SimulatedEntry(
      Member member,
      EntryLoop loop,
      OffsetClock clock,
      SimulatedFleet fleet,
      SimulatedFleet.MessengerChoice messengers) {
    this.member = member;
    this.loop = loop;
    this.clock = clock;
    this.store =
        new CuttableStore(
            fleet.store(),
            fleet.random(),
            () -> fleet.storeDown() ? StoreWay.LOSES_ANSWERS : storeWay);
    this.membership =
        fleet.newMembership(
            member,
            messengers.choose(
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

  EntryLoop loop() {
    return loop;
  }

  OffsetClock clock() {
    return clock;
  }

  long storeCalls() {
    return store.calls();
  }

  void cutStore(boolean cut) {
    storeWay = cut ? StoreWay.CUT : StoreWay.OPEN;
  }

  void loseStoreAnswers() {
    storeWay = StoreWay.LOSES_ANSWERS;
  }

  void leave() {
    var unused = membership.leave().thenRun(() -> left = true);
  }

  boolean left() {
    return left;
  }
}
