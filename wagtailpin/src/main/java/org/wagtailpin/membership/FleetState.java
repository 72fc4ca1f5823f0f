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
final class FleetState {

  private static final long NEVER = Long.MIN_VALUE;

  private final Member self;
  private final Clock clock;
  private final PeerTable table;
  private final RemovalRules rules;
  private final ShareTracker shareTracker;
  private final CurrentShares shares;
  private final LeaseManager leaseManager;
  private final Registration registration;
  private final HostStates hostStates;
  private Optional<StoreView> storeView = Optional.empty();
  private long registrationsReadMillis = NEVER;

  FleetState(
      Member self,
      Clock clock,
      PeerTable table,
      RemovalRules rules,
      ShareTracker shareTracker,
      CurrentShares shares,
      LeaseManager leaseManager,
      Registration registration,
      HostStates hostStates) {
    this.self = self;
    this.clock = clock;
    this.table = table;
    this.rules = rules;
    this.shareTracker = shareTracker;
    this.shares = shares;
    this.leaseManager = leaseManager;
    this.registration = registration;
    this.hostStates = hostStates;
  }

  Member self() {
    return self;
  }

  PeerTable table() {
    return table;
  }

  ShareTracker shareTracker() {
    return shareTracker;
  }

  boolean registered() {
    return registration.confirmed();
  }

  boolean storeReachable() {
    return leaseManager.storeReachable();
  }

  Optional<StoreView> storeView() {
    return storeView;
  }

  /** Takes in what the store holds. */
  void applyStoreView(StoreView next) {
    long now = clock.millis();
    storeView = Optional.of(next);
    for (Member member : next.registered().values()) {
      boolean released = table.isReleased(member.id(), member.incarnation());
      if (!member.id().equals(self.id()) && !released && !isKnownGone(member, next)) {
        addRegistered(member, now);
      }
    }
    if (registration.confirmed() && next.registered().containsKey(self.id())) {
      registrationsReadMillis = next.confirmedAtMillis();
    }
    for (PeerRecord record : table.records()) {
      recordAbsence(record, next);
    }
    update();
  }

  private void addRegistered(Member member, long now) {
    PeerRecord record = table.getOrAdd(member.id(), now);
    record.setRegistered(RegistrationState.REGISTERED);
    if (record.details().isEmpty() || !record.heardWithin(now, table.countedForMillis())) {
      table.updateDetails(member, now);
    }
  }

  private boolean isKnownGone(Member member, StoreView next) {
    return table.find(member.id()).isEmpty()
        && !next.leased().contains(member.id())
        && hostStates.stateOf(member.address()) == HostState.GONE;
  }

  /**
   * Returns the registrations that outlived their hosts, as this entry's view of the store goes.
   */
  List<String> staleRegistrations() {
    if (storeView.isEmpty()) {
      return List.of();
    }
    return storeView.get().registered().values().stream()
        .filter(member -> !member.id().equals(self.id()) && isKnownGone(member, storeView.get()))
        .map(Member::id)
        .toList();
  }

  private static void recordAbsence(PeerRecord record, StoreView view) {
    if (!view.leased().contains(record.id())) {
      record.recordLeaseAbsent(view.confirmedAtMillis());
    }
    if (!view.registered().containsKey(record.id())) {
      record.recordRegistrationAbsent(view.confirmedAtMillis());
    }
  }

  /** Applies the rules, and publishes the shares that follow. */
  void update() {
    long now = clock.millis();
    rules.apply(now, shareTracker.holdsLeased(now));
    shareTracker.evaluate(
        now,
        new ShareTracker.OwnStoreState(
            registration.confirmed(), leaseManager.heldUntilMillis(), registrationsReadMillis));
    shares.publish(shareTracker.validity(countedSets()));
  }

  private CountedSets countedSets() {
    CountedSets old = shares.validity().sets();
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
