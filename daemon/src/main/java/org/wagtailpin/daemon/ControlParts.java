package org.wagtailpin.daemon;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.budget.BudgetMetrics;
import org.wagtailpin.budget.BudgetSettings;
import org.wagtailpin.budget.ConfigBudgetLimits;
import org.wagtailpin.budget.FleetBudgets;
import org.wagtailpin.budget.PeerBudgetLink;
import org.wagtailpin.claims.ClaimSettings;
import org.wagtailpin.claims.ShardedClaims;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigInForce;
import org.wagtailpin.config.ConfigLimit;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.ConfigReport;
import org.wagtailpin.config.EvacuationRecorder;
import org.wagtailpin.config.EventLogConfigListener;
import org.wagtailpin.config.MergedConfig;
import org.wagtailpin.config.PublishedConfig;
import org.wagtailpin.config.StateConfirmation;
import org.wagtailpin.config.StoreConfigWatcher;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.ListenResult;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.NettyPeerMessenger;
import org.wagtailpin.entrypeer.NettyPeerSettings;
import org.wagtailpin.entrypeer.PeerIdentity;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.fleet.DomainFleet;
import org.wagtailpin.fleet.FleetTiming;
import org.wagtailpin.hostlist.Host;
import org.wagtailpin.hostlist.HostListPoller;
import org.wagtailpin.hostlist.HostListSettings;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.hostlist.HostStates;
import org.wagtailpin.hostlist.HttpHostList;
import org.wagtailpin.limits.CustomerAdmission;
import org.wagtailpin.membership.ConfigWatchController;
import org.wagtailpin.membership.EqualShares;
import org.wagtailpin.membership.FleetMembership;
import org.wagtailpin.membership.HighestCount;
import org.wagtailpin.membership.LimitShares;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.Membership;
import org.wagtailpin.membership.PeerEventRecorder;
import org.wagtailpin.membership.PullConfigSync;
import org.wagtailpin.registry.RegistryWatcher;
import org.wagtailpin.registry.WatchPhase;
import org.wagtailpin.store.EraOrderedStore;
import org.wagtailpin.store.GuardedStore;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreHttpClient;
import org.wagtailpin.store.StoreTimeouts;

/** Components of an entry that its control thread owns: configuration, membership and claims. */
public final class ControlParts implements AutoCloseable {

  private static final long FLUSH_TIMEOUT_MILLIS = 2_000;

  /** Above the timeouts of all store clients, also for a list of ten pages. */
  private static final long MAX_STORE_CALL_MILLIS = 30_000;

  /** Regions may lose each other for an hour. */
  private static final long FLEET_SIZE_MEMORY_MILLIS = 2 * 3_600_000;

  private final long incarnation;
  private final StoreHttpClient storeClient;
  private final EraOrderedStore store;
  private final MergedConfig merged = new MergedConfig();
  private final PublishedConfig published;
  private final ConfigMerger merger;
  private final StoreConfigWatcher configWatcher;
  private final Optional<RegistryWatcher> registryWatcher;
  private final NettyPeerMessenger messenger;
  private final FleetMembership membership;
  private final LimitShares shares;
  private final Optional<FleetBudgets> budgets;
  private final Supplier<Optional<StateConfirmation>> confirmation;
  private final EventLogConfigListener configEvents;
  private final ShardedClaims claims;
  private final CustomerAdmission customerAdmission;
  private final ControlLoop loop;
  private final Clock clock;
  private final EventLog events;
  private final Optional<HostListPoller> hostListPoller;

  ControlParts(
      EntrySettings settings,
      EntryPlatform platform,
      Clock clock,
      ControlLoop loop,
      EventLog events,
      BudgetMetrics budgetMetrics,
      long seed) {
    this.loop = loop;
    this.clock = clock;
    this.events = events;
    customerAdmission = new CustomerAdmission(clock);
    UniformRandomProvider random = SeededRandom.create(seed);
    incarnation = clock.wallMillis();
    storeClient = new StoreHttpClient(StoreTimeouts.defaults());
    store =
        new EraOrderedStore(
            new GuardedStore(
                platform.createStore(storeClient.client(), settings), loop, MAX_STORE_CALL_MILLIS));
    published = new PublishedConfig(List.of(tunableDefaults(settings.constants())));
    merger = new ConfigMerger(clock, merged, published);
    configWatcher = new StoreConfigWatcher(store, loop, merger, random);
    FleetTiming timing =
        FleetTiming.within(
            Math.min(settings.propagationMillis(), settings.withdrawalMillis()),
            Math.max(1, settings.failureDomains().size()),
            settings.firstStart());
    registryWatcher =
        platform
            .registryFormat(settings)
            .map(
                format ->
                    new RegistryWatcher(
                        store, loop, clock, merger, random, format, timing.batchMillis(), events));
    MutableAddressBook addresses = new MutableAddressBook();
    messenger =
        new NettyPeerMessenger(
            new PeerIdentity(settings.id(), incarnation),
            addresses,
            loop,
            clock,
            // The messenger uses its generator on another thread, so it can't share this one.
            SeededRandom.create(seed + 1),
            NettyPeerSettings.defaults(settings.peers().address(), settings.peers().port()));
    hostListPoller = createHostListPoller(settings, clock, random);
    Fleet fleet =
        registryWatcher
            .map(
                watch ->
                    domainFleet(settings, addresses, watch, random, timing, events, budgetMetrics))
            .orElseGet(() -> meshFleet(settings, platform, addresses, random));
    membership = fleet.membership();
    shares = fleet.shares();
    budgets = fleet.budgets();
    PeerEventRecorder peerEventRecorder =
        new PeerEventRecorder(events, platform.membershipSettings().suspicionTimeoutMillis());
    membership.setStatusListener(status -> peerEventRecorder.update(status.peers()));
    confirmation = fleet.confirmation();
    configEvents = new EventLogConfigListener(events, merger::origin, confirmation, clock);
    merger.addListener(configEvents);
    merger.addListener(new EvacuationRecorder(events));
    claims =
        new ShardedClaims(
            ClaimSettings.defaults(),
            incarnation,
            store,
            messenger,
            membership,
            clock,
            loop,
            random);
  }

  /** The other entries, and this entry's shares of what all use together. */
  private record Fleet(
      FleetMembership membership,
      LimitShares shares,
      Supplier<Optional<StateConfirmation>> confirmation,
      Optional<FleetBudgets> budgets) {}

  private Fleet domainFleet(
      EntrySettings settings,
      MutableAddressBook addresses,
      RegistryWatcher watch,
      UniformRandomProvider random,
      FleetTiming timing,
      EventLog events,
      BudgetMetrics budgetMetrics) {
    DomainFleet fleet =
        new DomainFleet(
            selfMember(settings, incarnation),
            settings.failureDomains().keySet(),
            messenger,
            addresses,
            store,
            watch,
            merger,
            new PullConfigSync(merger, messenger),
            loop,
            clock,
            random,
            timing,
            seedNames(settings),
            events,
            customerAdmission.sums());
    return new Fleet(
        fleet,
        new EqualShares(new HighestCount(fleet::fleetSize, clock, FLEET_SIZE_MEMORY_MILLIS)),
        fleet::confirmation,
        Optional.of(createBudgets(settings, fleet, events, budgetMetrics)));
  }

  private Fleet meshFleet(
      EntrySettings settings,
      EntryPlatform platform,
      MutableAddressBook addresses,
      UniformRandomProvider random) {
    Membership mesh =
        new Membership(
            selfMember(settings, incarnation),
            messenger,
            addresses,
            store,
            hostStates(),
            new ConfigWatchController(merger, configWatcher),
            new PullConfigSync(merger, messenger),
            loop,
            clock,
            random,
            platform.membershipSettings(),
            seedNames(settings));
    return new Fleet(mesh, mesh, Optional::empty, Optional.empty());
  }

  private FleetBudgets createBudgets(
      EntrySettings settings, DomainFleet fleet, EventLog events, BudgetMetrics metrics) {
    PeerBudgetLink link = new PeerBudgetLink(messenger);
    FleetBudgets created =
        new FleetBudgets(
            settings.id(),
            BudgetSettings.ofQuotas(
                Math.max(1, settings.failureDomains().size()), settings.constants()),
            new ConfigBudgetLimits(published),
            fleet.budgetPeers(),
            link,
            loop,
            clock,
            metrics,
            events);
    link.answerWith(created);
    return created;
  }

  private static ConfigLimit tunableDefaults(Map<Tunable, Double> tunables) {
    return new ConfigLimit("settings", Optional.empty(), tunables);
  }

  void changeTunableDefaults(Map<Tunable, Double> tunables) {
    published.changeDefaults(List.of(tunableDefaults(tunables)), merger.merged());
  }

  private static Member selfMember(EntrySettings settings, long incarnation) {
    return new Member(
        settings.id(),
        incarnation,
        settings.peers().address(),
        settings.peers().port(),
        settings.region(),
        settings.failureDomain(),
        false);
  }

  private static List<String> seedNames(EntrySettings settings) {
    return settings.seeds().stream()
        .map(seed -> MutableAddressBook.addressName(seed.address(), seed.port()))
        .toList();
  }

  private Optional<HostListPoller> createHostListPoller(
      EntrySettings settings, Clock clock, UniformRandomProvider random) {
    return settings
        .hostList()
        .map(
            address ->
                new HostListPoller(
                    new HttpHostList(storeClient.client(), address),
                    loop,
                    clock,
                    random,
                    HostListSettings.defaults()));
  }

  private HostStates hostStates() {
    return hostListPoller.isPresent() ? hostListPoller.get() : address -> HostState.UNKNOWN;
  }

  /** Returns the addresses of the hosts that the host list names as leaving or gone. */
  public Set<String> leavingAddresses() {
    if (hostListPoller.isEmpty()) {
      return Set.of();
    }
    return hostListPoller.get().latestHosts().stream()
        .map(Host::address)
        .filter(hostListPoller.get()::isLeaving)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the report on the active configuration for operators. Thread-safe. */
  public ConfigReport configReport() {
    return merger.report();
  }

  void start() throws IOException {
    ListenResult listenResult = messenger.start();
    if (listenResult instanceof ListenResult.Failed failed) {
      throw new IOException(failed.fault().toString());
    }
    loop.execute(membership::start);
    budgets.ifPresent(shared -> loop.execute(shared::start));
    registryWatcher.ifPresent(watch -> loop.execute(confirmationRecorder(watch)::start));
    hostListPoller.ifPresent(poller -> loop.execute(poller::start));
  }

  private ConfirmationRecorder confirmationRecorder(RegistryWatcher watch) {
    return new ConfirmationRecorder(
        loop, clock, events, configEvents::inForce, confirmation, watch::phase);
  }

  CompletableFuture<Void> leave() {
    CompletableFuture<Void> left = new CompletableFuture<>();
    loop.execute(
        () ->
            claims
                .flush(FLUSH_TIMEOUT_MILLIS)
                .thenCompose(flushed -> membership.leave())
                .whenComplete((done, failure) -> left.complete(null)));
    return left;
  }

  /**
   * Returns the milliseconds since the store last answered, empty if there is no registry through
   * which this entry watches the store.
   */
  Optional<Long> storeSilenceMillis() {
    return registryWatcher.map(watcher -> clock.millis() - watcher.lastAnswerMillis());
  }

  /** Returns the latest era of the store, which rises when it is restored from an older copy. */
  long storeEra() {
    return store.latestEra();
  }

  /** Returns how many answers of the store were discarded since they were of an earlier era. */
  long storeAnswersOfEarlierEra() {
    return store.discardedAnswers();
  }

  /** Returns the configuration in force, without its servers. */
  ConfigInForce configInForce() {
    return configEvents.inForce();
  }

  /** Returns when this entry's state was last known to be the store's, empty if it never was. */
  Optional<StateConfirmation> stateConfirmation() {
    return confirmation.get();
  }

  /** Returns what the watch of the store waits for, empty if there is no registry. */
  Optional<WatchPhase> watchPhase() {
    return registryWatcher.map(RegistryWatcher::phase);
  }

  /** Returns the milliseconds since the last change of the active configuration. */
  long configAgeMillis() {
    return clock.wallMillis() - merger.origin().sinceWallMillis();
  }

  /**
   * Returns the number of this run of the entry, which grows with each start: the time at which it
   * was created, in milliseconds since the epoch.
   */
  public long incarnation() {
    return incarnation;
  }

  /** Returns the holder of the active configuration. */
  public PublishedConfig published() {
    return published;
  }

  /** Returns the merger, which activates configuration and knows its origin. */
  public ConfigMerger merger() {
    return merger;
  }

  /** Returns this entry's view of the fleet's membership. */
  public FleetMembership membership() {
    return membership;
  }

  /** Returns this entry's shares of fleet-wide limits. */
  public LimitShares shares() {
    return shares;
  }

  /** Returns what decides which calls exceed the shares of their customers. */
  public CustomerAdmission customerAdmission() {
    return customerAdmission;
  }

  /** Returns the budgets shared with other entries, empty if there is no registry. */
  Optional<FleetBudgets> budgets() {
    return budgets;
  }

  /** Returns the claims of idempotency keys. */
  public ShardedClaims claims() {
    return claims;
  }

  /** Returns the client of the store. */
  public Store store() {
    return store;
  }

  @Override
  public void close() {
    loop.execute(membership::stop);
    budgets.ifPresent(shared -> loop.execute(shared::stop));
    loop.execute(configWatcher::stop);
    hostListPoller.ifPresent(poller -> loop.execute(poller::stop));
    messenger.close();
    storeClient.close();
  }
}
