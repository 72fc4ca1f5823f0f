package org.wagtailpin.proof.scenario;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.claims.ClaimSettings;
import org.wagtailpin.claims.ShardedClaims;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.ObjectId;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.config.StoreConfigWatcher;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.PeerIdentity;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.memory.MemoryPeerNetwork;
import org.wagtailpin.hostlist.HostStates;
import org.wagtailpin.membership.ConfigWatchController;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.Membership;
import org.wagtailpin.membership.MembershipSettings;
import org.wagtailpin.membership.PullConfigSync;
import org.wagtailpin.store.Store;

/**
 * One incarnation of a simulated entry, with its membership, claims and configuration. Time passes
 * only as the shared timeline advances.
 */
final class EntryProcess {

  private final Member member;
  private final ProcessLoop loop;
  private final Membership membership;
  private final ShardedClaims claims;
  private final MergedConfig config = new MergedConfig();
  private final Map<ObjectId, Long> lastTickets = new HashMap<>();
  private boolean configReverted;

  EntryProcess(
      Member member,
      List<String> seeds,
      Store store,
      MemoryPeerNetwork network,
      HostStates hosts,
      Clock clock,
      ControlLoop timeline,
      long seed) {
    this.member = member;
    this.loop = new ProcessLoop(timeline);
    PeerMessenger messenger =
        network.connect(new PeerIdentity(member.id(), member.incarnation()), loop);
    ConfigMerger merger = new ConfigMerger(clock, config, new PublishedConfig());
    merger.addListener(this::recordReversions);
    StoreConfigWatcher watcher =
        new StoreConfigWatcher(
            store, loop, merger, RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2));
    this.membership =
        new Membership(
            member,
            messenger,
            new MutableAddressBook(),
            store,
            hosts,
            new ConfigWatchController(merger, watcher),
            new PullConfigSync(merger, messenger),
            loop,
            clock,
            RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
            MembershipSettings.defaults(),
            seeds);
    this.claims =
        new ShardedClaims(
            ClaimSettings.defaults(),
            member.incarnation(),
            store,
            messenger,
            membership,
            clock,
            loop,
            RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 1));
    loop.execute(membership::start);
  }

  private void recordReversions(MergedConfig active) {
    for (VersionedObject object : active.objects()) {
      Long lastTicket = lastTickets.put(object.id(), object.ticket());
      configReverted |= lastTicket != null && lastTicket > object.ticket();
    }
  }

  Member member() {
    return member;
  }

  ProcessLoop loop() {
    return loop;
  }

  Membership membership() {
    return membership;
  }

  ShardedClaims claims() {
    return claims;
  }

  MergedConfig config() {
    return config;
  }

  /** Returns whether any configuration object was ever replaced by one of a lower ticket. */
  boolean configReverted() {
    return configReverted;
  }
}
