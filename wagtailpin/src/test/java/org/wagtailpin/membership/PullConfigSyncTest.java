package org.wagtailpin.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigCallerGroup;
import org.wagtailpin.config.ConfigKind;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.ObjectId;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.config.VersionedObject;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.PeerIdentity;
import org.wagtailpin.entrypeer.memory.MemoryPeerMessenger;
import org.wagtailpin.entrypeer.memory.MemoryPeerNetwork;
import org.wagtailpin.entrypeer.memory.NetworkFaults;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.memory.MemoryStore;

/** Checks that configuration changes reach all entries of a fleet, in simulated time. */
class PullConfigSyncTest {

  private static final int ENTRIES = 16;
  private static final long JOIN_MILLIS = 10_000;
  private static final long MAX_CONVERGENCE_MILLIS = 2000;

  private record Node(String id, ConfigMerger merger, Membership membership) {}

  private final ManualClock clock = new ManualClock(0);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(31);
  private final MemoryPeerNetwork network = new MemoryPeerNetwork(loop, random);
  private final MemoryStore store = new MemoryStore(clock, loop);
  private final List<Node> nodes = new ArrayList<>();
  private boolean storeDown;

  private Node start(int number, List<String> seeds) {
    String id = "entry-" + (100 + number);
    Member member = new Member(id, number, "10.0.0." + number, 7000, "r", "d" + number % 6, false);
    MemoryPeerMessenger messenger = network.connect(new PeerIdentity(id, number), loop);
    ConfigMerger merger = new ConfigMerger(clock, new MergedConfig(), new PublishedConfig());
    Store entryStore =
        new UnreliableStore(
            store, random, () -> storeDown ? StoreLinkState.CUT : StoreLinkState.OPEN);
    Membership membership =
        new Membership(
            member,
            messenger,
            new MutableAddressBook(),
            entryStore,
            address -> HostState.LIVE,
            elected -> {},
            new PullConfigSync(merger, messenger),
            loop,
            clock,
            RandomSource.XO_RO_SHI_RO_128_PP.create(number),
            MembershipSettings.defaults(),
            seeds);
    membership.start();
    Node node = new Node(id, merger, membership);
    nodes.add(node);
    return node;
  }

  private void startAll() {
    for (int i = 1; i <= ENTRIES; i++) {
      start(i, List.of());
    }
    loop.advance(JOIN_MILLIS);
  }

  private static VersionedObject group(String name, long ticket, double weight) {
    ConfigCallerGroup group = new ConfigCallerGroup(name, weight, List.of("10.0.0.0/8"));
    return new VersionedObject(
        new ObjectId(ConfigKind.CALLER_GROUP, name), ticket, Optional.of(group));
  }

  private static VersionedObject removed(String name, long ticket) {
    return new VersionedObject(
        new ObjectId(ConfigKind.CALLER_GROUP, name), ticket, Optional.empty());
  }

  private void assertAllEqual() {
    MergedConfig first = nodes.get(0).merger().merged();
    for (Node node : nodes) {
      assertThat(node.merger().merged().objects())
          .containsExactlyElementsIn(first.objects())
          .inOrder();
    }
  }

  @Test
  void changeAtOneEntryReachesAllEntriesWithinTwoSeconds() {
    startAll();
    nodes.get(4).merger().mergeFromStore(List.of(group("a", 5, 1), group("b", 5, 2)));
    loop.advance(MAX_CONVERGENCE_MILLIS);
    assertThat(nodes.get(15).merger().merged().objects()).hasSize(2);
    assertAllEqual();
  }

  @Test
  void changesAtManyEntriesConvergeToHighestTickets() {
    startAll();
    nodes.get(0).merger().mergeFromStore(List.of(group("a", 7, 1), group("b", 3, 1)));
    nodes.get(5).merger().mergeFromStore(List.of(group("a", 6, 2), removed("b", 8)));
    nodes.get(9).merger().mergeFromStore(List.of(group("c", 2, 3)));
    loop.advance(2 * MAX_CONVERGENCE_MILLIS);
    assertThat(nodes.get(12).merger().merged().objects())
        .containsExactly(group("a", 7, 1), removed("b", 8), group("c", 2, 3));
    assertAllEqual();
  }

  @Test
  void objectRemovedDuringPartitionIsNotRestoredByDisconnectedEntry() {
    startAll();
    nodes.get(0).merger().mergeFromStore(List.of(group("a", 1, 1)));
    loop.advance(MAX_CONVERGENCE_MILLIS);
    network.addPartition(Set.of(nodes.get(3).id()), Set.copyOf(others(nodes.get(3))));
    nodes.get(0).merger().mergeFromStore(List.of(removed("a", 2)));
    loop.advance(JOIN_MILLIS);
    assertThat(nodes.get(3).merger().merged().live()).hasSize(1);
    network.healPartitions();
    loop.advance(2 * MAX_CONVERGENCE_MILLIS);
    assertThat(nodes.get(3).merger().merged().live()).isEmpty();
    assertAllEqual();
  }

  private List<String> others(Node node) {
    return nodes.stream().map(Node::id).filter(id -> !id.equals(node.id())).toList();
  }

  @Test
  void entryStartedDuringStoreOutageGetsConfigurationFromPeer() {
    startAll();
    nodes.get(0).merger().mergeFromStore(List.of(group("a", 1, 1)));
    loop.advance(MAX_CONVERGENCE_MILLIS);
    storeDown = true;
    Node late = start(40, List.of(nodes.get(2).id()));
    loop.advance(MAX_CONVERGENCE_MILLIS);
    assertThat(late.merger().merged().live()).hasSize(1);
    assertThat(late.merger().report().source()).isEqualTo("peer");
    assertThat(late.merger().report().peer()).isEqualTo(nodes.get(2).id());
  }

  @Test
  void configurationConvergesDespiteLostAndDuplicatedMessages() {
    startAll();
    network.setFaults(new NetworkFaults(1, 400, 0.3, 0.2));
    for (int ticket = 1; ticket <= 50; ticket++) {
      Node node = nodes.get(random.nextInt(ENTRIES));
      node.merger().mergeFromStore(List.of(group("g" + random.nextInt(10), ticket, ticket)));
      loop.advance(100);
    }
    loop.advance(3 * JOIN_MILLIS);
    assertAllEqual();
  }

  @Test
  void configurationLargerThanMaximumReplyArrivesInParts() {
    startAll();
    List<VersionedObject> many = new ArrayList<>();
    List<String> blocks = new ArrayList<>();
    for (int i = 0; i < 250; i++) {
      blocks.add("10." + i + ".0.0/16");
    }
    for (int i = 0; i < 600; i++) {
      ConfigCallerGroup group = new ConfigCallerGroup("g" + i, 1, blocks);
      many.add(new VersionedObject(group.id(), 1, Optional.of(group)));
    }
    nodes.get(0).merger().mergeFromStore(many);
    loop.advance(JOIN_MILLIS);
    assertThat(nodes.get(15).merger().merged().objects()).hasSize(600);
    assertAllEqual();
  }
}
