package org.wagtailpin.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.hostlist.HostStates;

/**
 * This entry's place in the fleet: its table of the others, its ledger of shares and what it knows
 * of the store. Brings the published shares up to date after each event. For use on the control
 * loop, but for the published shares.
 */
final class EntryPlace {

  private static final long NEVER = Long.MIN_VALUE;

  private final Member self;
  private final Clock clock;
  private final PeerTable table;
  private final RemovalRules rules;
  private final ShareLedger ledger;
  private final CurrentShares shares;
  private final LeaseKeeper lease;
  private final Registration registration;
  private final HostStates hostStates;
  private Optional<StoreView> view = Optional.empty();
  private long registrationsReadMillis = NEVER;

  EntryPlace(
      Member self,
      Clock clock,
      PeerTable table,
      RemovalRules rules,
      ShareLedger ledger,
      CurrentShares shares,
      LeaseKeeper lease,
      Registration registration,
      HostStates hostStates) {
    this.self = self;
    this.clock = clock;
    this.table = table;
    this.rules = rules;
    this.ledger = ledger;
    this.shares = shares;
    this.lease = lease;
    this.registration = registration;
    this.hostStates = hostStates;
  }

  Member self() {
    return self;
  }

  PeerTable table() {
    return table;
  }

  ShareLedger ledger() {
    return ledger;
  }

  boolean registered() {
    return registration.known();
  }

  boolean storeReachable() {
    return lease.storeReachable();
  }

  Optional<StoreView> view() {
    return view;
  }

  /** Takes in what the store holds. */
  void take(StoreView next) {
    long now = clock.millis();
    view = Optional.of(next);
    for (Member member : next.registered().values()) {
      boolean released = table.isReleased(member.id(), member.incarnation());
      if (!member.id().equals(self.id()) && !released && !knownGone(member, next)) {
        learnRegistered(member, now);
      }
    }
    if (registration.known() && next.registered().containsKey(self.id())) {
      registrationsReadMillis = next.confirmedAtMillis();
    }
    for (PeerRecord record : table.records()) {
      noteAbsence(record, next);
    }
    update();
  }

  private void learnRegistered(Member member, long now) {
    PeerRecord record = table.note(member.id(), now);
    record.setRegistered(Registered.YES);
    if (record.details().isEmpty() || !record.heardWithin(now, table.countedForMillis())) {
      table.learn(member, now);
    }
  }

  private boolean knownGone(Member member, StoreView next) {
    return table.find(member.id()).isEmpty()
        && !next.leased().contains(member.id())
        && hostStates.stateOf(member.address()) == HostState.GONE;
  }

  /**
   * Returns the registrations that outlived their hosts, as this entry's view of the store goes.
   */
  List<String> goneRegistrations() {
    if (view.isEmpty()) {
      return List.of();
    }
    return view.get().registered().values().stream()
        .filter(member -> !member.id().equals(self.id()) && knownGone(member, view.get()))
        .map(Member::id)
        .toList();
  }

  private static void noteAbsence(PeerRecord record, StoreView view) {
    if (!view.leased().contains(record.id())) {
      record.leaseAbsentAt(view.confirmedAtMillis());
    }
    if (!view.registered().containsKey(record.id())) {
      record.registrationAbsentAt(view.confirmedAtMillis());
    }
  }

  /** Applies the rules, and publishes the shares that follow. */
  void update() {
    long now = clock.millis();
    rules.apply(now, ledger.holdsLeased(now));
    ledger.evaluate(
        now,
        new ShareLedger.Standing(
            registration.known(), lease.heldUntilMillis(), registrationsReadMillis));
    shares.publish(ledger.terms(sets()));
  }

  private CountedSets sets() {
    CountedSets old = shares.terms().sets();
    CountedSets next = new CountedSets(self.id(), table.guaranteedSet(), table.leasedSet());
    boolean same = old.guaranteed().equals(next.guaranteed()) && old.leased().equals(next.leased());
    return same ? old : next;
  }

  /** Returns the live entries with known addresses, in the order of their identifiers. */
  List<Member> liveMembers() {
    TreeSet<String> ids = new TreeSet<>(table.leasedSet());
    List<Member> members = new ArrayList<>();
    for (String id : ids) {
      if (id.equals(self.id())) {
        members.add(self);
      } else {
        table.find(id).flatMap(PeerRecord::details).ifPresent(members::add);
      }
    }
    return members;
  }

  /** Tells how far this entry is cut off; another entry counts if it was heard lately. */
  Isolation isolation(long heardWithinMillis) {
    long now = clock.millis();
    boolean othersKnown = !table.records().isEmpty();
    boolean anyHeard =
        table.records().stream().anyMatch(record -> record.heardWithin(now, heardWithinMillis));
    if (storeReachable()) {
      return anyHeard || !othersKnown ? Isolation.CONNECTED : Isolation.PEERS_LOST;
    }
    return anyHeard ? Isolation.STORE_LOST : Isolation.SERVING_ALONE;
  }
}
