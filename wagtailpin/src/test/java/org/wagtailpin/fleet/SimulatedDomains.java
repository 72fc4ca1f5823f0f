package org.wagtailpin.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.memory.MemoryPeerNetwork;
import org.wagtailpin.entrypeer.memory.NetworkFaults;
import org.wagtailpin.registry.TestRegistryFormat;
import org.wagtailpin.store.WriteCondition;
import org.wagtailpin.store.memory.FaultyStore;
import org.wagtailpin.store.memory.MemoryStore;
import org.wagtailpin.store.memory.StoreFaults;

/** Entries of several failure domains in simulated time, with one store. */
final class SimulatedDomains {

  /** How soon a change must be in force everywhere. */
  static final long BOUND_MILLIS = 2_000;

  /** How long an entry and the store must be without a fault for the bound to hold. */
  static final long CALM_MILLIS = 3_000;

  static final long STORE_TIMEOUT_MILLIS = 1_500;
  private static final long MAX_DELAY_MILLIS = 12;
  private static final long START_MILLIS = 1_000_000;
  private static final int SEEDS = 3;

  /** Wraps the messenger of an entry, to change what it sends. */
  interface MessengerWrapper {
    PeerMessenger wrap(PeerMessenger messenger);
  }

  private final ManualClock clock = new ManualClock(START_MILLIS);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final MemoryStore store = new MemoryStore(clock, loop);
  private final FaultyStore faulty;
  private final MemoryPeerNetwork network;
  private final UniformRandomProvider random;
  private final MessengerWrapper wrapper;
  private final Map<String, SimulatedMember> members = new TreeMap<>();
  private final Set<String> domains = new HashSet<>();
  private final Set<String> storeCut = new HashSet<>();
  private final List<String> seeds = new ArrayList<>();
  private boolean storeDown;
  private Optional<UnaryOperator<StoreFaults.Builder>> storeHarm = Optional.empty();
  private long storeDisturbedMillis = -CALM_MILLIS;
  private long incarnations;
  private int version;

  SimulatedDomains(long seed, MessengerWrapper wrapper) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.wrapper = wrapper;
    this.faulty = new FaultyStore(store, clock, loop, seed, STORE_TIMEOUT_MILLIS);
    this.network = new MemoryPeerNetwork(loop, random);
    network.setFaults(new NetworkFaults(1, MAX_DELAY_MILLIS, 0, 0));
  }

  SimulatedDomains(long seed) {
    this(seed, messenger -> messenger);
  }

  /** Creates and starts entries; the first ones of the first domains are the seeds. */
  void start(int domainCount, int entriesPerDomain) {
    List<SimulatedMember> created = new ArrayList<>();
    for (int d = 0; d < domainCount; d++) {
      String domain = "d" + d;
      domains.add(domain);
      if (d < SEEDS) {
        seeds.add(domain + "-0");
      }
    }
    for (String domain : domains) {
      for (int e = 0; e < entriesPerDomain; e++) {
        SimulatedMember member = new SimulatedMember(this, domain + "-" + e, domain);
        members.put(member.id(), member);
        created.add(member);
      }
    }
    created.forEach(member -> member.start(true));
  }

  /** Adds and starts an entry that knows the seeds. */
  SimulatedMember add(String id, String domain) {
    SimulatedMember member = new SimulatedMember(this, id, domain);
    members.put(id, member);
    member.start(false);
    return member;
  }

  void advance(long millis) {
    loop.advance(millis);
  }

  /** Writes the next version of the document, which the store acknowledges at once. */
  int changeDocument() {
    version++;
    rewriteDocument();
    return version;
  }

  /** Writes the last version of the document again. */
  void rewriteDocument() {
    put(TestRegistryFormat.DOCUMENT, "v" + version + " " + version);
  }

  /** Restores the store from a copy, which all entries may notice late. */
  void restoreStore(MemoryStore.Copy copy) {
    faulty.restore(copy);
    storeDisturbedMillis = clock.millis();
  }

  void register(String server, String state) {
    put(TestRegistryFormat.SERVERS + server, state);
  }

  void deregister(String server) {
    store.delete(TestRegistryFormat.SERVERS + server, new WriteCondition.Always());
  }

  private void put(String key, String value) {
    store.write(
        key, value.getBytes(StandardCharsets.UTF_8), new WriteCondition.Always(), Optional.empty());
  }

  int version() {
    return version;
  }

  void setStoreDown(boolean down) {
    storeDown = down;
    changeStoreFaults();
  }

  /** Has the store lose answers or history, or answer late, or ends that. */
  void harmStore(Optional<UnaryOperator<StoreFaults.Builder>> harm) {
    storeHarm = harm;
    changeStoreFaults();
  }

  void cutFromStore(String entry, boolean cut) {
    if (cut) {
      storeCut.add(entry);
    } else {
      storeCut.remove(entry);
    }
    members.get(entry).disturbed();
    changeStoreFaults();
  }

  /** Has the open connections of all entries to the store go silent; new ones work. */
  void silenceStoreConnections() {
    members.values().forEach(SimulatedMember::silenceStoreConnections);
  }

  void endStoreCuts() {
    Set.copyOf(storeCut).forEach(entry -> cutFromStore(entry, false));
  }

  private void changeStoreFaults() {
    if (storeDown || storeHarm.isPresent()) {
      storeDisturbedMillis = Long.MAX_VALUE / 2;
    } else if (storeDisturbedMillis > clock.millis()) {
      storeDisturbedMillis = clock.millis();
    }
    StoreFaults.Builder faults =
        StoreFaults.builder().down(storeDown).partition(Set.copyOf(storeCut));
    faulty.changeFaults(storeHarm.map(harm -> harm.apply(faults)).orElse(faults).build());
  }

  /** Returns whether the store has been without faults for long enough. */
  boolean storeCalm() {
    return clock.millis() - storeDisturbedMillis >= CALM_MILLIS;
  }

  List<SimulatedMember> members() {
    return List.copyOf(members.values());
  }

  SimulatedMember member(String id) {
    return members.get(id);
  }

  /** Returns the members of a domain that watch the store now. */
  List<SimulatedMember> watchers(String domain) {
    return members().stream()
        .filter(member -> member.domain().equals(domain) && member.running() && member.watching())
        .toList();
  }

  Set<String> domains() {
    return domains;
  }

  int storeCalls() {
    return members().stream().mapToInt(SimulatedMember::storeCalls).sum();
  }

  ManualClock clock() {
    return clock;
  }

  ManualControlLoop loop() {
    return loop;
  }

  FaultyStore store() {
    return faulty;
  }

  MemoryPeerNetwork network() {
    return network;
  }

  UniformRandomProvider random() {
    return random;
  }

  MessengerWrapper wrapper() {
    return wrapper;
  }

  List<String> seeds() {
    return seeds;
  }

  /** Returns the last number of an IPv4 address; the simulated network does not use addresses. */
  long nextHost() {
    return incarnations % 250;
  }

  long nextIncarnation() {
    return ++incarnations;
  }
}
