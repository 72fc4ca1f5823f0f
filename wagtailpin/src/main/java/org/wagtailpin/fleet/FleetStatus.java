package org.wagtailpin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.wagtailpin.membership.ConfigStamp;
import org.wagtailpin.membership.Isolation;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.MembershipStatus;
import org.wagtailpin.membership.MembershipView;
import org.wagtailpin.membership.PeerStatus;
import org.wagtailpin.store.StoreWatch;

/**
 * The published view of the fleet, for traffic threads and operators. What was published is read by
 * any thread; the rest is confined to the control loop.
 */
final class FleetStatus {

  private final Member self;
  private final FleetKnowledge knowledge;
  private final StoreWatch watch;
  private final FollowedWatcher followed;
  private Consumer<MembershipStatus> listener = status -> {};
  private volatile MembershipView view;
  private volatile MembershipStatus current;
  private volatile int fleetSize;

  FleetStatus(
      Member self,
      int domains,
      FleetKnowledge knowledge,
      StoreWatch watch,
      FollowedWatcher followed) {
    this.self = self;
    this.knowledge = knowledge;
    this.watch = watch;
    this.followed = followed;
    this.view = new MembershipView(0, self.id(), List.of(self));
    this.fleetSize = Math.max(1, domains);
    this.current = status(Isolation.SERVING_ALONE, false, List.of());
  }

  void setListener(Consumer<MembershipStatus> newListener) {
    listener = newListener;
  }

  void publish(long now, boolean leaving) {
    List<Member> live = new ArrayList<>();
    List<PeerStatus> peers = new ArrayList<>();
    for (DomainMembers.Peer peer : knowledge.ownMembers().live(now)) {
      live.add(peer.member());
      if (!peer.member().id().equals(self.id())) {
        peers.add(peerStatus(peer, now));
      }
    }
    if (!live.equals(view.members())) {
      view = new MembershipView(view.version() + 1, self.id(), live);
    }
    fleetSize = knowledge.fleetSize(now);
    current = status(isolation(now, peers.isEmpty()), leaving, peers);
    listener.accept(current);
  }

  private static PeerStatus peerStatus(DomainMembers.Peer peer, long now) {
    return new PeerStatus(
        peer.member().id(),
        Optional.of(peer.member()),
        Optional.of(now - peer.heardMillis()),
        true,
        peer.current(),
        new ConfigStamp(0, 0));
  }

  private Isolation isolation(long now, boolean alone) {
    boolean storeKnown = watch.running() ? watch.current() : followed.good(now);
    if (storeKnown) {
      return Isolation.CONNECTED;
    }
    return alone ? Isolation.SERVING_ALONE : Isolation.STORE_LOST;
  }

  private MembershipStatus status(Isolation isolation, boolean leaving, List<PeerStatus> peers) {
    return new MembershipStatus(isolation, false, false, false, watch.running(), leaving, peers);
  }

  MembershipView view() {
    return view;
  }

  MembershipStatus current() {
    return current;
  }

  int fleetSize() {
    return fleetSize;
  }
}
