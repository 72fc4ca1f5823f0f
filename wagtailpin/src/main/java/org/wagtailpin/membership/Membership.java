package org.wagtailpin.membership;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.LearntAddressBook;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.hostlist.HostState;
import org.wagtailpin.hostlist.HostStates;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.WriteCondition;

/**
 * This entry's membership of the fleet: which entries are live, and its shares of the limits.
 *
 * <p>The rule of the shares is stated in {@code docs/design/membership-and-shares.md}. The methods
 * of {@link MembershipSource} and {@link LimitShares} and {@link #status} are safe for all threads;
 * the rest is called before the start or on the control loop.
 */
public final class Membership implements MembershipSource, LimitShares {

  private static final double HEARTBEAT_JITTER = 0.05;

  private final Member self;
  private final Store store;
  private final ControlLoop loop;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final MembershipSettings settings;
  private final List<String> seeds;
  private final LeaseKeeper lease;
  private final Registration registration;
  private final StoreReader reader;
  private final CurrentShares shares;
  private final EntryPlace place;
  private final HeartbeatExchange heartbeats;
  private final WatcherElection election;
  private final WatchDuty duty;
  private final long electionFromMillis;
  private volatile MembershipView view;
  private volatile MembershipStatus status;
  private Consumer<MembershipStatus> statusListener = told -> {};
  private boolean leaving;
  private boolean stopped;

  /**
   * Creates the membership of an entry that has not joined yet.
   *
   * @param self this entry
   * @param messenger carries the heartbeats
   * @param addresses takes the addresses of other entries; the messenger finds them there
   * @param store holds the lease and the registration
   * @param hostStates the newest states of the platform's hosts
   * @param duty told whether this entry is to watch the store
   * @param config told what heartbeats say of the others' configuration
   * @param loop runs all this
   * @param clock counts leases and promises
   * @param random spreads calls and heartbeats; used by this object only
   * @param settings timing and cut, the same in the whole fleet
   * @param seeds names of addresses at which other entries may be found, made by {@link
   *     LearntAddressBook#nameOfAddress}; used while no other entry is heard
   */
  public Membership(
      Member self,
      PeerMessenger messenger,
      LearntAddressBook addresses,
      Store store,
      HostStates hostStates,
      WatchDuty duty,
      ConfigWatcher config,
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
    this.duty = duty;
    this.seeds = List.copyOf(seeds);
    this.lease = new LeaseKeeper(store, loop, clock, random, self, settings);
    this.registration =
        new Registration(store, loop, random, self, settings, this::registrationKnown);
    this.reader = new StoreReader(store, loop, clock, random, settings, this::takeStoreView);
    this.shares = new CurrentShares(clock, settings.guaranteedFraction(), firstTerms(self));
    PeerTable table = new PeerTable(self.id(), addresses, settings);
    this.place =
        new EntryPlace(
            self,
            clock,
            table,
            new RemovalRules(table, settings, record -> isGone(hostStates, record)),
            new ShareLedger(table, clock.millis()),
            shares,
            lease,
            registration,
            hostStates);
    this.heartbeats = new HeartbeatExchange(place, messenger, loop, clock, settings, config);
    this.election = new WatcherElection(self, settings.silenceMillis());
    this.electionFromMillis = clock.millis() + settings.silenceMillis();
    this.view = new MembershipView(0, self.id(), List.of(self));
    this.status = currentStatus();
  }

  private static ShareTerms firstTerms(Member self) {
    CountedSets alone = new CountedSets(self.id(), Set.of(self.id()), Set.of(self.id()));
    return new ShareTerms(alone, ShareTerms.NOT_HELD, ShareTerms.NOT_HELD);
  }

  private static boolean isGone(HostStates hostStates, PeerRecord record) {
    Optional<HostState> state =
        record.details().map(details -> hostStates.stateOf(details.address()));
    return state.equals(Optional.of(HostState.GONE));
  }

  /**
   * Has changes of the store's reachability told, before the start.
   *
   * @param listener told whether the store answers, on the control loop
   */
  public void onStoreReachability(Consumer<Boolean> listener) {
    lease.onReachability(listener);
  }

  /**
   * Has each new state told, before the start.
   *
   * @param listener takes the state, on the control loop
   */
  public void onStatus(Consumer<MembershipStatus> listener) {
    statusListener = listener;
  }

  /** Begins to join the fleet. */
  public void start() {
    heartbeats.listen();
    lease.start();
    registration.start();
    loop.execute(this::tick);
  }

  private void registrationKnown() {
    // The list must be asked for after the registration, to have all that registered before.
    reader.setNeed(StoreReader.Need.NOTHING);
    chooseNeed();
  }

  private void takeStoreView(StoreView next) {
    if (!stopped) {
      place.take(next);
      publish();
    }
  }

  private void tick() {
    if (stopped) {
      return;
    }
    place.update();
    chooseNeed();
    dropGoneRegistrations();
    heartbeats.sendToAll();
    askSeeds();
    publish();
    double jitter = 1 - HEARTBEAT_JITTER + 2 * HEARTBEAT_JITTER * random.nextDouble();
    loop.schedule((long) (settings.heartbeatMillis() * jitter), this::tick);
  }

  private void chooseNeed() {
    long now = clock.millis();
    boolean elected =
        now >= electionFromMillis
            && !leaving
            && election.elected(place.table().records(), lease.storeReachable(), now);
    if (now >= electionFromMillis) {
      duty.watch(elected);
    }
    if (elected) {
      reader.setNeed(StoreReader.Need.WATCH);
    } else if (place.ledger().joining(now)) {
      reader.setNeed(StoreReader.Need.LISTS);
    } else {
      reader.setNeed(StoreReader.Need.NOTHING);
    }
  }

  private void dropGoneRegistrations() {
    if (reader.need() != StoreReader.Need.WATCH) {
      return;
    }
    for (String entry : place.goneRegistrations()) {
      place
          .view()
          .flatMap(known -> known.registrationRevision(entry))
          .ifPresent(revision -> dropRegistration(entry, revision));
    }
  }

  private void dropRegistration(String entry, long revision) {
    var unused = store.delete(EntryKeys.registered(entry), new WriteCondition.AtRevision(revision));
  }

  private void askSeeds() {
    long now = clock.millis();
    boolean anyHeard =
        place.table().records().stream()
            .anyMatch(record -> record.heardWithin(now, settings.promiseMillis()));
    if (!anyHeard) {
      for (String seed : seeds) {
        var unused = heartbeats.send(seed);
      }
    }
  }

  private void publish() {
    List<Member> members = place.liveMembers();
    if (!members.equals(view.members())) {
      view = new MembershipView(view.version() + 1, self.id(), members);
    }
    status = currentStatus();
    statusListener.accept(status);
  }

  private MembershipStatus currentStatus() {
    long now = clock.millis();
    return new MembershipStatus(
        place.isolation(settings.promiseMillis()),
        registration.known(),
        place.ledger().holdsGuaranteed(now),
        place.ledger().holdsLeased(now),
        reader.need() == StoreReader.Need.WATCH,
        leaving,
        place.table().records().stream().map(record -> peerStatus(record, now)).toList());
  }

  private static PeerStatus peerStatus(PeerRecord record, long now) {
    boolean heard = record.lastHeardMillis() != PeerRecord.NEVER;
    return new PeerStatus(
        record.id(),
        record.details(),
        heard ? Optional.of(now - record.lastHeardMillis()) : Optional.empty(),
        record.inLeased(),
        record.storeReachable(),
        new ConfigStamp(record.configDigest(), record.highestTicket()));
  }

  /** Tells the others at once what this entry has, as after a change of its configuration. */
  public void announceNow() {
    if (!stopped) {
      heartbeats.sendToAll();
    }
  }

  /** Tells the others that this entry is about to leave. Its shares stay as they are. */
  public void announceLeaving() {
    leaving = true;
    heartbeats.setLeaving();
    announceNow();
  }

  /**
   * Gives up all shares, tells the others, and then takes this entry's keys out of the store.
   * Called when nothing is in flight any more.
   *
   * @return completes when that is done as far as it can be
   */
  public CompletableFuture<Void> leave() {
    leaving = true;
    place.ledger().release();
    place.update();
    return heartbeats.announceRelease().thenRun(this::withdraw);
  }

  private void withdraw() {
    stop();
    lease.end();
    registration.withdraw();
  }

  /** Stops all activity without a word to others. */
  public void stop() {
    stopped = true;
    lease.stop();
    registration.stop();
    reader.setNeed(StoreReader.Need.NOTHING);
  }

  @Override
  public MembershipView current() {
    return view;
  }

  /** Returns the newest state for operators. */
  public MembershipStatus status() {
    return status;
  }

  @Override
  public int wholeShare(String limitName, int limit) {
    return shares.wholeShare(limitName, limit);
  }

  @Override
  public double share(double limit) {
    return shares.share(limit);
  }
}
