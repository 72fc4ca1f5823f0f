package org.wagtailpin.fleet;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.PeerIdentity;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.eventlog.NoOpEventLog;
import org.wagtailpin.limits.CustomerAdmission;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.PausableControlLoop;
import org.wagtailpin.membership.PullConfigSync;
import org.wagtailpin.registry.RegistryWatcher;
import org.wagtailpin.registry.TestRegistryFormat;
import org.wagtailpin.store.EraOrderedStore;
import org.wagtailpin.store.Store;

/** One entry of {@link SimulatedDomains}, which can be killed, restarted and paused. */
final class SimulatedMember {

  private static final int PORT = 7_000;

  private final SimulatedDomains fleet;
  private final String id;
  private final String domain;
  private PausableControlLoop loop;
  private PublishedConfig published;
  private RegistryWatcher watcher;
  private DomainFleet membership;
  private CustomerAdmission customerAdmission;
  private int highestVersion;
  private long disturbedMillis;
  private boolean cut;
  private Optional<SilentConnections> storeConnections = Optional.empty();
  private int earlierStoreCalls;

  SimulatedMember(SimulatedDomains fleet, String id, String domain) {
    this.fleet = fleet;
    this.id = id;
    this.domain = domain;
  }

  /** Starts a new process. */
  void start(boolean firstStart) {
    disturbed();
    highestVersion = 0;
    PausableControlLoop started = new PausableControlLoop(fleet.loop(), this::check);
    loop = started;
    Member self =
        new Member(
            id, fleet.nextIncarnation(), "10.0.0." + fleet.nextHost(), PORT, "r", domain, false);
    PeerMessenger messenger =
        fleet
            .wrapper()
            .wrap(fleet.network().connect(new PeerIdentity(id, self.incarnation()), started));
    earlierStoreCalls = storeCalls();
    SilentConnections connections =
        new SilentConnections(
            fleet.store().client(id), started, SimulatedDomains.STORE_TIMEOUT_MILLIS);
    storeConnections = Optional.of(connections);
    Store store = new EraOrderedStore(connections.client());
    published = new PublishedConfig();
    ConfigMerger merger = new ConfigMerger(fleet.clock(), new MergedConfig(), published);
    FleetTiming timing =
        FleetTiming.within(SimulatedDomains.BOUND_MILLIS, fleet.domains().size(), firstStart);
    watcher =
        new RegistryWatcher(
            store,
            started,
            fleet.clock(),
            merger,
            RandomSource.XO_RO_SHI_RO_128_PP.create(fleet.random().nextLong()),
            new TestRegistryFormat(),
            timing.batchMillis(),
            new NoOpEventLog());
    customerAdmission = new CustomerAdmission(fleet.clock());
    membership =
        new DomainFleet(
            self,
            fleet.domains(),
            messenger,
            new MutableAddressBook(),
            store,
            watcher,
            merger,
            new PullConfigSync(merger, messenger),
            started,
            fleet.clock(),
            RandomSource.XO_RO_SHI_RO_128_PP.create(fleet.random().nextLong()),
            timing,
            fleet.seeds(),
            new NoOpEventLog(),
            customerAdmission.sums());
    started.execute(membership::start);
  }

  /** Has the connections to the store that are open now go silent. */
  void silenceStoreConnections() {
    storeConnections.ifPresent(SilentConnections::silence);
  }

  /** Has the watch of the store that waits now get no answer. */
  void loseWatchAnswer() {
    storeConnections.ifPresent(SilentConnections::loseWatchAnswer);
  }

  void kill() {
    disturbed();
    loop.kill();
    fleet.network().disconnect(id);
  }

  void pause() {
    disturbed();
    loop.pause();
  }

  void resume() {
    disturbed();
    loop.resume();
  }

  /** Cuts this entry off from all other entries, or ends that for all entries. */
  void cutFromPeers() {
    cut = true;
    Set<String> others =
        fleet.members().stream()
            .map(SimulatedMember::id)
            .filter(other -> !other.equals(id))
            .collect(Collectors.toSet());
    fleet.network().addPartition(Set.of(id), others);
    disturbed();
  }

  void reconnect() {
    cut = false;
    fleet.network().healPartitions();
    disturbed();
  }

  /** Records a fault of this entry, after which it must be calm for some time. */
  void disturbed() {
    disturbedMillis = fleet.clock().millis();
  }

  private void check() {
    int now = version();
    if (now < highestVersion) {
      throw new AssertionError(id + " went back from version " + highestVersion + " to " + now);
    }
    highestVersion = now;
  }

  /** Returns the version of the document in force, 0 if there is none. */
  int version() {
    return published.current().services().stream()
        .mapToInt(service -> Integer.parseInt(service.name().substring(1)))
        .max()
        .orElse(0);
  }

  Set<String> servers() {
    return published.current().servers("work").stream()
        .map(ConfigServer::name)
        .collect(Collectors.toSet());
  }

  Set<String> leavingServers() {
    return published.current().servers("work").stream()
        .filter(ConfigServer::leaving)
        .map(ConfigServer::name)
        .collect(Collectors.toSet());
  }

  boolean running() {
    return !loop.killed();
  }

  boolean paused() {
    return loop.paused();
  }

  /** Returns whether the entry must have a change in force in time. */
  boolean inTouch() {
    return running()
        && !paused()
        && !cut
        && fleet.clock().millis() - disturbedMillis >= SimulatedDomains.CALM_MILLIS;
  }

  boolean watching() {
    return watcher.running();
  }

  DomainFleet membership() {
    return membership;
  }

  CustomerAdmission customerAdmission() {
    return customerAdmission;
  }

  String id() {
    return id;
  }

  String domain() {
    return domain;
  }

  int storeCalls() {
    return earlierStoreCalls + storeConnections.map(SilentConnections::calls).orElse(0);
  }
}
