package org.wagtailpin.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.hostlist.HostStates;

/**
 * What this entry knows about the fleet: the other entries, its own shares and the newest view of
 * the store. Publishes the shares again after each event. Confined to the control loop, except for
 * the published shares, which are thread-safe.
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

  /** Adds the registered entries of a new view of the store and records which keys are absent. */
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
   * Returns the identifiers of entries whose host is gone but whose registration is still in the
   * newest view of the store; empty before the first view.
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

  /** Applies the removal rules, and publishes the resulting shares. */
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

  /** Returns the live entries with known addresses, this one included, ordered by identifier. */
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

  /**
   * Returns how far this entry is cut off.
   *
   * @param heardWithinMillis how recently another entry must have been heard to count as reachable,
   *     in milliseconds
   */
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
