package org.wagtailpin.benchmark.fleet;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.control.ThreadControlLoop;
import org.wagtailpin.entrypeer.ListenResult;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.NettyPeerMessenger;
import org.wagtailpin.entrypeer.NettyPeerSettings;
import org.wagtailpin.entrypeer.PeerIdentity;
import org.wagtailpin.entrypeer.PeerTraffic;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.Membership;
import org.wagtailpin.membership.MembershipSettings;
import org.wagtailpin.membership.PullConfigSync;
import org.wagtailpin.store.Store;

/** Control plane of one entry: membership over real loopback sockets, without callers' traffic. */
final class MeasuredEntry implements AutoCloseable {

  /** Prefix of the names of the control threads. */
  static final String CONTROL_THREAD_PREFIX = "fleet-control-";

  private static final String ADDRESS = "127.0.0.1";
  private static final int DOMAINS = 6;
  private static final int REGIONS = 2;

  private final ThreadControlLoop loop;
  private final NettyPeerMessenger messenger;
  private final Membership membership;

  MeasuredEntry(int number, Clock clock, Store store, long seed) {
    String id = String.format("entry-%03d", number);
    MutableAddressBook addresses = new MutableAddressBook();
    loop = new ThreadControlLoop(CONTROL_THREAD_PREFIX + number);
    messenger =
        new NettyPeerMessenger(
            new PeerIdentity(id, number),
            addresses,
            loop,
            clock,
            random(seed),
            NettyPeerSettings.defaults(ADDRESS, 0));
    ConfigMerger merger = new ConfigMerger(clock, new MergedConfig(), new PublishedConfig());
    PullConfigSync configSync = new PullConfigSync(merger, messenger);
    if (!(messenger.start() instanceof ListenResult.Listening listening)) {
      throw new IllegalStateException("entry " + id + " cannot listen");
    }
    String region = "region-" + number % REGIONS;
    String domain = "domain-" + number % DOMAINS;
    Member member = new Member(id, number, ADDRESS, listening.port(), region, domain, false);
    membership =
        new Membership(
            member,
            messenger,
            addresses,
            store,
            address -> HostState.LIVE,
            elected -> {},
            configSync,
            loop,
            clock,
            random(seed + 1),
            MembershipSettings.defaults(),
            List.of());
    membership.start();
  }

  private static UniformRandomProvider random(long seed) {
    return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  PeerTraffic traffic() {
    return messenger.traffic();
  }

  Membership membership() {
    return membership;
  }

  @Override
  public void close() {
    loop.execute(membership::stop);
    messenger.close();
    loop.close();
  }
}
