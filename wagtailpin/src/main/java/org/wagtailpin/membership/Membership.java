package org.wagtailpin.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.hostlist.HostStates;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WriteCondition;

/**
 * Membership of this entry in the fleet: which entries are live, and its shares of the limits.
 *
 * <p>The protocol for shares is described in {@code docs/design/membership-and-shares.md}. The
 * methods of {@link MembershipSource} and {@link LimitShares} and {@link #status} are thread-safe;
 * all others are called before the start or on the control loop.
 */
public final class Membership implements FleetMembership, LimitShares {

  private static final double HEARTBEAT_JITTER = 0.05;

  private final Member self;
  private final Store store;
  private final ControlLoop loop;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final MembershipSettings settings;
  private final List<String> seeds;
  private final LeaseManager leaseManager;
  private final Registration registration;
  private final StoreReader reader;
  private final CurrentShares shares;
  private final FleetState fleet;
  private final HeartbeatExchange heartbeats;
  private final WatcherElection election;
  private final WatcherElectionListener electionListener;
  private final long electionStartMillis;
  private volatile MembershipView view;
  private volatile MembershipStatus status;
  private Consumer<MembershipStatus> statusListener = newStatus -> {};
  private boolean leaving;
  private boolean stopped;

  /**
   * Creates the membership of an entry that has not joined yet.
   *
   * @param self this entry
   * @param messenger sends and receives heartbeats
   * @param addresses receives the addresses of other entries, for the messenger to look up
   * @param store holds the lease and the registration
   * @param hostStates the newest states of the platform's hosts
   * @param electionListener called with whether this entry is to watch the store
   * @param configSync called with the configuration stamps of other entries
   * @param loop runs all timers and callbacks
   * @param clock measures leases and promises
   * @param random jitter of store calls and heartbeats; used by this object only
   * @param settings timing and split of limits, the same in the whole fleet
   * @param seeds names of addresses at which other entries may be found, made by {@link
   *     MutableAddressBook#addressName}; contacted while no other entry is heard
   */
  public Membership(
      Member self,
      PeerMessenger messenger,
      MutableAddressBook addresses,
      Store store,
      HostStates hostStates,
      WatcherElectionListener electionListener,
      ConfigSync configSync,
      ControlLoop loop,
      Clock clock,
      UniformRandomProvider random,
      MembershipSettings settings,
      List<String> seeds) {
    this.self = self;
    this.store = store;
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.settings = settings;
    this.electionListener = electionListener;
    this.seeds = List.copyOf(seeds);
    this.leaseManager = new LeaseManager(store, loop, clock, random, self, settings);
    this.registration = new Registration(store, loop, random, self, settings, this::onRegistered);
    this.leaseManager.setEraListener(registration::registerAgain);
    this.reader = new StoreReader(store, loop, clock, random, settings, this::onStoreView);
    this.shares = new CurrentShares(clock, settings.guaranteedFraction(), initialValidity(self));
    PeerTable table = new PeerTable(self.id(), addresses, settings);
    this.fleet =
        new FleetState(
            self,
            clock,
            table,
            new RemovalRules(table, settings, record -> isHostGone(hostStates, record)),
            new ShareTracker(table, clock.millis()),
            shares,
            leaseManager,
            registration,
            hostStates);
    this.heartbeats = new HeartbeatExchange(fleet, messenger, loop, clock, settings, configSync);
    this.election = new WatcherElection(self, settings.suspicionTimeoutMillis());
    this.electionStartMillis = clock.millis() + settings.suspicionTimeoutMillis();
    this.view = new MembershipView(0, self.id(), List.of(self));
    this.status = currentStatus();
  }

  private static ShareValidity initialValidity(Member self) {
    CountedSets onlySelf = new CountedSets(self.id(), Set.of(self.id()), Set.of(self.id()));
    return new ShareValidity(onlySelf, ShareValidity.NOT_HELD, ShareValidity.NOT_HELD);
  }

  private static boolean isHostGone(HostStates hostStates, PeerRecord record) {
    Optional<HostState> state =
        record.details().map(details -> hostStates.stateOf(details.address()));
    return state.equals(Optional.of(HostState.GONE));
  }

  /**
   * Sets the listener for changes of the store's reachability. Called before the start.
   *
   * @param listener called on the control loop with whether the store answers
   */
  public void setStoreReachabilityListener(Consumer<Boolean> listener) {
    leaseManager.setReachabilityListener(listener);
  }

  @Override
  public void setStatusListener(Consumer<MembershipStatus> listener) {
    statusListener = listener;
  }

  @Override
  public void start() {
    heartbeats.registerHandler();
    leaseManager.start();
    registration.start();
    loop.execute(this::tick);
  }

  private void onRegistered() {
    // Restarts polling: only a list read after this entry registered is sure to contain all entries
    // that registered before it.
    reader.setMode(StoreReader.ReadMode.OFF);
    updateReadMode();
  }

  private void onStoreView(StoreView next) {
    if (!stopped) {
      fleet.applyStoreView(next);
      publish();
    }
  }

  private void tick() {
    if (stopped) {
      return;
    }
    try {
      step();
    } finally {
      // An exception of one step must not end the membership.
      double jitter = 1 - HEARTBEAT_JITTER + 2 * HEARTBEAT_JITTER * random.nextDouble();
      loop.schedule((long) (settings.heartbeatMillis() * jitter), this::tick);
    }
  }

  private void step() {
    fleet.update();
    updateReadMode();
    deleteStaleRegistrations();
    heartbeats.sendToAll();
    contactSeeds();
    publish();
  }

  private void updateReadMode() {
    long now = clock.millis();
    boolean elected =
        now >= electionStartMillis
            && !leaving
            && election.isElected(fleet.table().records(), leaseManager.storeReachable(), now);
    if (now >= electionStartMillis) {
      electionListener.onElectionResult(elected);
    }
    if (elected) {
      reader.setMode(StoreReader.ReadMode.WATCH);
    } else if (fleet.shareTracker().isJoining(now)) {
      reader.setMode(StoreReader.ReadMode.POLL);
    } else {
      reader.setMode(StoreReader.ReadMode.OFF);
    }
  }

  private void deleteStaleRegistrations() {
    if (reader.mode() != StoreReader.ReadMode.WATCH) {
      return;
    }
    for (String entry : fleet.staleRegistrations()) {
      fleet
          .storeView()
          .flatMap(latest -> latest.registrationRevision(entry))
          .ifPresent(revision -> deleteRegistration(entry, revision));
    }
  }

  private void deleteRegistration(String entry, long revision) {
    var unused =
        store.delete(EntryKeys.registrationKey(entry), new WriteCondition.AtRevision(revision));
  }

  private void contactSeeds() {
    long now = clock.millis();
    boolean anyHeard =
        fleet.table().records().stream()
            .anyMatch(record -> record.heardWithin(now, settings.promiseMillis()));
    if (!anyHeard) {
      for (String seed : seeds) {
        var unused = heartbeats.send(seed);
      }
    }
  }

  private void publish() {
    List<Member> members = fleet.liveMembers();
    if (!members.equals(view.members())) {
      view = new MembershipView(view.version() + 1, self.id(), members);
    }
    status = currentStatus();
    statusListener.accept(status);
  }

  private MembershipStatus currentStatus() {
    long now = clock.millis();
    return new MembershipStatus(
        fleet.isolation(settings.promiseMillis()),
        registration.confirmed(),
        fleet.shareTracker().holdsGuaranteed(now),
        fleet.shareTracker().holdsLeased(now),
        reader.mode() == StoreReader.ReadMode.WATCH,
        leaving,
        fleet.table().records().stream().map(record -> peerStatus(record, now)).toList());
  }

  private static PeerStatus peerStatus(PeerRecord record, long now) {
    boolean heard = record.lastHeardMillis() != PeerRecord.NEVER;
    return new PeerStatus(
        record.id(),
        record.details(),
        heard ? Optional.of(now - record.lastHeardMillis()) : Optional.empty(),
        record.inLeasedSet(),
        record.storeReachable(),
        new ConfigStamp(record.configDigest(), record.highestTicket()));
  }

  /** Sends a heartbeat to all other entries at once, for example after a configuration change. */
  public void sendHeartbeats() {
    if (!stopped) {
      heartbeats.sendToAll();
    }
  }

  /** {@inheritDoc} It keeps its shares. */
  @Override
  public void announceLeaving() {
    leaving = true;
    heartbeats.setLeaving();
    sendHeartbeats();
  }

  /**
   * Releases all shares, announces this to the other entries, and then deletes this entry's keys
   * from the store. Called when no work is in flight any more.
   *
   * @return completes when each entry has answered or timed out and the deletion of the keys has
   *     been requested; the store's answer is not awaited
   */
  @Override
  public CompletableFuture<Void> leave() {
    leaving = true;
    fleet.shareTracker().release();
    fleet.update();
    return heartbeats.announceRelease().thenRun(this::deregister);
  }

  private void deregister() {
    stop();
    leaseManager.revoke();
    registration.deregister();
  }

  /** {@inheritDoc} Keys in the store stay. */
  @Override
  public void stop() {
    stopped = true;
    leaseManager.stop();
    registration.stop();
    reader.setMode(StoreReader.ReadMode.OFF);
  }

  @Override
  public MembershipView current() {
    return view;
  }

  @Override
  public MembershipStatus status() {
    return status;
  }

  @Override
  public int integerShare(String limitName, int limit) {
    return shares.integerShare(limitName, limit);
  }

  @Override
  public double share(double limit) {
    return shares.share(limit);
  }
}
