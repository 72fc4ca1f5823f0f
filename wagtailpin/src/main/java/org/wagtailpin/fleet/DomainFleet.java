package org.wagtailpin.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.IpAddressSyntax;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.ConfigPush;
import org.wagtailpin.entrypeer.generated.ConfigPushAck;
import org.wagtailpin.entrypeer.generated.DomainBeat;
import org.wagtailpin.entrypeer.generated.DomainBeatAck;
import org.wagtailpin.entrypeer.generated.DomainMember;
import org.wagtailpin.entrypeer.generated.DomainState;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.entrypeer.generated.WatcherRecord;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.membership.ConfigObjectCodec;
import org.wagtailpin.membership.ConfigStamp;
import org.wagtailpin.membership.ConfigSync;
import org.wagtailpin.membership.EntryKeys;
import org.wagtailpin.membership.FleetMembership;
import org.wagtailpin.membership.Isolation;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.MembershipStatus;
import org.wagtailpin.membership.MembershipView;
import org.wagtailpin.membership.PeerStatus;
import org.wagtailpin.store.ReadResult;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreWatch;

/**
 * Membership of an entry in a fleet in which one entry of each failure domain watches the store.
 *
 * <p>The watcher pushes changes to the other entries of its domain, which send it a beat at short
 * intervals. A follower whose watcher is lost, leaves or has lost the store watches the store
 * itself in its turn. Watchers of different domains exchange the sizes of their domains and compare
 * their configuration. An entry that knows nobody asks the seeds of its settings. The protocol is
 * described in {@code docs/design/fleet.md}.
 */
public final class DomainFleet implements FleetMembership {

  private static final int TICKS_PER_BEAT = 2;
  private static final double TICK_JITTER = 0.1;
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** After how long a watcher whose first list of the store fails gives way to the one before. */
  private static final long CHALLENGE_MILLIS = 600;

  private static final long CHALLENGE_PAUSE_MILLIS = 5_000;
  private static final long STORELESS_EXCHANGE_MILLIS = 1_000;
  private static final long SUCCESSOR_CHECK_MILLIS = 500;
  private static final int MAX_CONTACTS = 4;

  /** By how many ranks an entry that leaves comes later in the order of succession. */
  private static final int LEAVING_RANKS = 6;

  private final Member self;
  private final PeerMessenger messenger;
  private final MutableAddressBook addresses;
  private final Store store;
  private final StoreWatch watch;
  private final ConfigMerger merger;
  private final ConfigSync configSync;
  private final ConfigObjectCodec codec = new ConfigObjectCodec();
  private final ControlLoop loop;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final FleetTiming timing;
  private final EventLog events;
  private final List<String> seeds;
  private final SuccessionRule succession;
  private final StorePing ping;
  private final ConfigPusher pusher;
  private final FollowedWatcher followed;
  private final WatcherDirectory directory;
  private final Map<String, DomainMembers> membersByDomain = new HashMap<>();
  private final Set<String> namedRivals = new HashSet<>();
  private final Map<String, Member> addressed = new HashMap<>();
  private Consumer<MembershipStatus> statusListener = newStatus -> {};
  private volatile MembershipView view;
  private volatile MembershipStatus status;
  private volatile int fleetSize;
  private Optional<String> challenged = Optional.empty();
  private long watchingSinceMillis = NEVER;
  private long lastFailedChallengeMillis = NEVER;
  private long lastBeatMillis = NEVER;
  private long lastExchangeMillis = NEVER;
  private boolean successorCheckScheduled;
  private boolean leaving;
  private boolean stopped;

  /**
   * Creates the membership of an entry that has not started yet.
   *
   * @param self this entry
   * @param domains the names of all failure domains
   * @param messenger sends and receives messages of entries
   * @param addresses receives the addresses of other entries, for the messenger to look up
   * @param store tested while a watch waits
   * @param watch the watch of the store, started and stopped by this object
   * @param merger holds this entry's configuration
   * @param configSync pulls configuration from entries that have another one
   * @param loop runs all timers and callbacks
   * @param clock measures silences
   * @param random jitter and choice of partners; used by this object only
   * @param timing the intervals and time-outs
   * @param seeds names of addresses at which other entries may be found, made by {@link
   *     MutableAddressBook#addressName}
   * @param events receives an event when the watcher changes
   */
  public DomainFleet(
      Member self,
      Set<String> domains,
      PeerMessenger messenger,
      MutableAddressBook addresses,
      Store store,
      StoreWatch watch,
      ConfigMerger merger,
      ConfigSync configSync,
      ControlLoop loop,
      Clock clock,
      UniformRandomProvider random,
      FleetTiming timing,
      List<String> seeds,
      EventLog events) {
    this.self = self;
    this.messenger = messenger;
    this.addresses = addresses;
    this.store = store;
    this.watch = watch;
    this.merger = merger;
    this.configSync = configSync;
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.timing = timing;
    this.events = events;
    String ownAddress = MutableAddressBook.addressName(self.address(), self.peerPort());
    this.seeds = seeds.stream().filter(seed -> !seed.equals(ownAddress)).toList();
    this.succession = new SuccessionRule(timing);
    this.ping = new StorePing(store, watch, loop, clock, timing);
    this.pusher = new ConfigPusher(merger);
    this.followed = new FollowedWatcher(timing, clock.millis());
    this.directory = new WatcherDirectory(domains);
    this.view = new MembershipView(0, self.id(), List.of(self));
    this.fleetSize = Math.max(1, domains.size());
    this.status = currentStatus(clock.millis());
  }

  @Override
  public void setStatusListener(Consumer<MembershipStatus> listener) {
    statusListener = listener;
  }

  @Override
  public void start() {
    messenger.setHandler(PeerFrame.BodyCase.DOMAIN_BEAT, this::onBeat);
    messenger.setHandler(PeerFrame.BodyCase.CONFIG_PUSH, this::onPush);
    merger.addListener(merged -> configChanged());
    followed.lose(clock.millis());
    tick();
  }

  private DomainMembers members(String domain) {
    return membersByDomain.computeIfAbsent(domain, name -> new DomainMembers());
  }

  private DomainMembers ownMembers() {
    return members(self.failureDomain());
  }

  private void tick() {
    if (stopped) {
      return;
    }
    long now = clock.millis();
    boolean current = watch.running() ? watch.current() : followed.good(now);
    ownMembers().heard(self, now, leaving, watch.running(), current);
    if (watch.running()) {
      directory.heard(self, ownSize(now), now);
      watchStep(now);
    } else {
      followStep(now);
    }
    membersByDomain.values().forEach(members -> members.forgetOld(now));
    directory.forgetOld(now);
    publish(now);
    double jitter = 1 - TICK_JITTER + 2 * TICK_JITTER * random.nextDouble();
    loop.schedule((long) (timing.beatMillis() * jitter / TICKS_PER_BEAT), this::tick);
  }

  private void followStep(long now) {
    if (now - lastBeatMillis >= timing.beatMillis() * (1 - TICK_JITTER)) {
      lastBeatMillis = now;
      followed.id().ifPresent(this::beat);
      if (!followed.good(now)) {
        contactAnyone();
      }
    }
    WatcherStanding standing = followed.standing(now);
    boolean mayChallenge =
        standing != WatcherStanding.STORE_LOST
            || now - lastFailedChallengeMillis >= CHALLENGE_PAUSE_MILLIS;
    int rank = ownMembers().rank(self.id(), followed.id(), now) + (leaving ? LEAVING_RANKS : 0);
    OptionalLong wait = succession.waitMillis(standing, rank);
    if (wait.isPresent() && mayChallenge) {
      long elapsed = now - followed.sinceMillis(now);
      if (elapsed >= wait.getAsLong() && standing == WatcherStanding.STORE_LOST) {
        challenge(rank, now);
      } else if (elapsed >= wait.getAsLong()) {
        startWatching(standing, rank, now);
      }
    }
  }

  /** Replaces a watcher that has lost the store, if the store answers this entry. */
  private void challenge(int rank, long now) {
    lastFailedChallengeMillis = now;
    var unused =
        store
            .readStale(StorePing.KEY)
            .thenAccept(
                result ->
                    loop.execute(
                        () -> {
                          if (!(result instanceof ReadResult.Failed)) {
                            endChallenge(rank);
                          }
                        }));
  }

  private void endChallenge(int rank) {
    long now = clock.millis();
    boolean stillLost = followed.standing(now) == WatcherStanding.STORE_LOST;
    if (stillLost && !watch.running() && !stopped) {
      startWatching(WatcherStanding.STORE_LOST, rank, now);
    }
  }

  private void contactAnyone() {
    seeds.forEach(this::beat);
    liveOthers(clock.millis()).stream().limit(MAX_CONTACTS).forEach(this::beat);
  }

  /** Returns the other live entries of the own domain. */
  private List<String> liveOthers(long now) {
    return ownMembers().live(now).stream()
        .map(peer -> peer.member().id())
        .filter(id -> !id.equals(self.id()))
        .toList();
  }

  private void startWatching(WatcherStanding standing, int rank, long now) {
    events.recordEvent(
        Event.of(EventKind.WATCHER_ELECTED)
            .with("reason", standing.name())
            .with("rank", rank)
            .with("before", followed.id().orElse("")));
    challenged = standing == WatcherStanding.STORE_LOST ? followed.id() : Optional.empty();
    if (standing == WatcherStanding.LINK_LOST || standing == WatcherStanding.SILENT) {
      followed.id().ifPresent(ownMembers()::lost);
    }
    watchingSinceMillis = now;
    pusher.restart();
    ping.reset();
    watch.start();
    announce();
    seeds.forEach(this::beat);
    directory.successorOf(self.failureDomain()).ifPresent(next -> beat(next.member().id()));
  }

  /** Sends a beat to all live entries of the own domain. */
  private void announce() {
    liveOthers(clock.millis()).forEach(this::beat);
  }

  private void watchStep(long now) {
    Optional<String> other = betterWatcher(now);
    if (other.isPresent()) {
      stopWatching(other.get(), now);
      return;
    }
    boolean failedChallenge =
        challenged.isPresent() && !watch.current() && now - watchingSinceMillis >= CHALLENGE_MILLIS;
    if (failedChallenge) {
      stopWatching(challenged.get(), now);
      followed.record(WatcherStanding.STORE_LOST, now);
      return;
    }
    ping.run();
    if (now - lastBeatMillis >= timing.beatMillis() * (1 - TICK_JITTER)) {
      lastBeatMillis = now;
      rivals(now).forEach(this::beat);
    }
    long period = watch.current() ? timing.exchangeMillis() : STORELESS_EXCHANGE_MILLIS;
    if (now - lastExchangeMillis >= period) {
      lastExchangeMillis = now;
      exchange();
    }
  }

  /** Returns the other entries of the own domain that are known to watch the store. */
  private Set<String> rivals(long now) {
    Set<String> rivals = new HashSet<>(namedRivals);
    namedRivals.clear();
    for (DomainMembers.Peer peer : ownMembers().live(now)) {
      if (peer.watching() && !peer.member().id().equals(self.id())) {
        rivals.add(peer.member().id());
      }
    }
    return rivals;
  }

  /** Returns another watcher of the domain to which this one gives way, if there is any. */
  private Optional<String> betterWatcher(long now) {
    return ownMembers().live(now).stream()
        .filter(peer -> now - peer.heardMillis() <= timing.silenceMillis())
        .filter(peer -> peer.watching() && peer.current() && !peer.leaving())
        .map(peer -> peer.member().id())
        .filter(id -> !id.equals(self.id()))
        .filter(id -> leaving || !watch.current() || id.compareTo(self.id()) < 0)
        .filter(id -> watch.current() || now - watchingSinceMillis >= CHALLENGE_MILLIS)
        .findFirst();
  }

  private void stopWatching(String successor, long now) {
    events.recordEvent(Event.of(EventKind.WATCHER_REPLACED).with("watcher", successor));
    watch.stop();
    ping.reset();
    challenged = Optional.empty();
    followed.follow(successor, now);
    beat(successor);
  }

  /** Sends a beat to one partner: another watcher, or a seed, which tells it to new entries. */
  private void exchange() {
    List<String> partners = new ArrayList<>();
    for (WatcherDirectory.Watcher watcher : directory.all()) {
      if (!watcher.member().failureDomain().equals(self.failureDomain())) {
        partners.add(watcher.member().id());
      }
    }
    partners.addAll(seeds);
    if (!partners.isEmpty()) {
      beat(partners.get(random.nextInt(partners.size())));
    }
  }

  private void beat(String entry) {
    long now = clock.millis();
    DomainBeat.Builder body = DomainBeat.newBuilder().setState(state(self.failureDomain(), now));
    if (watch.running()) {
      body.addAllWatchers(directory.toRecords(now));
    }
    var unused =
        messenger
            .request(entry, PeerFrame.newBuilder().setDomainBeat(body), timing.silenceMillis())
            .thenAccept(reply -> onReply(entry, reply, now));
  }

  private DomainState state(String receiverDomain, long now) {
    ConfigStamp stamp = configSync.stamp();
    return DomainState.newBuilder()
        .setSelf(EntryKeys.toRecord(self))
        .setLeaving(leaving)
        .setWatching(watch.running())
        .setCurrent(watch.running() ? watch.current() : followed.good(now))
        .setConfigDigest(stamp.digest())
        .setCompleteTicket(merger.merged().completeTicket())
        .setMembersDigest(members(receiverDomain).digest(now))
        .setDomainSize(ownSize(now))
        .setWatchersDigest(directory.digest())
        .build();
  }

  private int ownSize(long now) {
    return Math.max(1, ownMembers().live(now).size());
  }

  private void onReply(String entry, PeerReply reply, long sentMillis) {
    if (stopped) {
      return;
    }
    long now = clock.millis();
    if (!(reply instanceof PeerReply.Answered answered) || !answered.frame().hasDomainBeatAck()) {
      recordFailure(entry, sentMillis, now);
      return;
    }
    String sender = answered.frame().getSender();
    if (sender.equals(self.id())) {
      return;
    }
    DomainBeatAck ack = answered.frame().getDomainBeatAck();
    Member member = learn(ack.getState(), now);
    mergeMembers(ack, now);
    mergeWatchers(ack.getWatchersList(), now);
    if (followed.is(sender) && ack.getWatchersCount() == 0) {
      directory.confirmAll(now);
    }
    if (followed.is(sender) && ack.getMembersCount() == 0) {
      ownMembers().confirmLive(now);
    }
    if (isOwn(member)) {
      updateStanding(member, ack.getState(), sentMillis, now);
    } else if (followed.id().isEmpty()) {
      directory
          .of(self.failureDomain())
          .map(watcher -> watcher.member().id())
          .filter(id -> !id.equals(self.id()) && !watch.running())
          .ifPresent(id -> followNamed(id, now));
    }
    compareConfig(member, ack.getState());
  }

  private void followNamed(String id, long now) {
    followed.follow(id, now);
    beat(id);
  }

  /** A failure that comes before the time-out shows that the other process does not listen. */
  private void recordFailure(String entry, long sentMillis, long now) {
    boolean early = now - sentMillis < timing.beatMillis() / 2;
    if (!early) {
      return;
    }
    directory.remove(entry);
    if (followed.is(entry) && !watch.running()) {
      followed.record(WatcherStanding.LINK_LOST, now);
    }
  }

  private boolean isOwn(Member member) {
    return member.failureDomain().equals(self.failureDomain());
  }

  /** Records what an entry says of itself. */
  private Member learn(DomainState state, long now) {
    Member member = EntryKeys.toMember(state.getSelf());
    rememberAddress(member);
    members(member.failureDomain())
        .heard(member, now, state.getLeaving(), state.getWatching(), state.getCurrent());
    if (state.getWatching()) {
      directory.heard(member, state.getDomainSize(), now);
    }
    return member;
  }

  private void mergeWatchers(List<WatcherRecord> records, long now) {
    directory.merge(records, now);
    for (WatcherRecord record : records) {
      Member member = EntryKeys.toMember(record.getRecord());
      rememberAddress(member);
      boolean named = record.getHeardAgoMillis() <= DomainMembers.LIVE_MILLIS;
      if (named && isOwn(member) && !member.id().equals(self.id())) {
        namedRivals.add(member.id());
      }
    }
  }

  private void rememberAddress(Member member) {
    // A name would be looked up, which blocks the control loop.
    if (!member.equals(addressed.put(member.id(), member))
        && IpAddressSyntax.isIpAddress(member.address())) {
      addresses.setAddress(member.id(), member.address(), member.peerPort());
    }
  }

  private void mergeMembers(DomainBeatAck ack, long now) {
    for (DomainMember named : ack.getMembersList()) {
      Member member = EntryKeys.toMember(named.getRecord());
      if (!member.id().equals(self.id())) {
        rememberAddress(member);
        members(member.failureDomain())
            .named(member, now - named.getHeardAgoMillis(), named.getLeaving());
      }
    }
  }

  private void updateStanding(Member sender, DomainState state, long sentMillis, long now) {
    if (watch.running()) {
      return;
    }
    if (!state.getWatching()) {
      if (followed.is(sender.id())) {
        followed.record(WatcherStanding.LINK_LOST, now);
      }
      followDirectory(now);
      return;
    }
    boolean usable = state.getCurrent() && !state.getLeaving();
    if (!followed.is(sender.id()) && (followed.id().isEmpty() || (usable && !followed.good(now)))) {
      events.recordEvent(Event.of(EventKind.WATCHER_FOLLOWED).with("watcher", sender.id()));
      followed.follow(sender.id(), now);
    }
    if (followed.is(sender.id())) {
      recordStanding(state, sentMillis, now);
    }
  }

  /** Follows the watcher of the own domain that others name, if this entry follows none. */
  private void followDirectory(long now) {
    if (followed.id().isPresent()) {
      return;
    }
    directory
        .of(self.failureDomain())
        .map(watcher -> watcher.member().id())
        .filter(id -> !id.equals(self.id()))
        .ifPresent(id -> followed.follow(id, now));
  }

  private void recordStanding(DomainState state, long sentMillis, long now) {
    if (state.getLeaving()) {
      followed.record(WatcherStanding.LEAVING, now);
    } else if (state.getCurrent()) {
      followed.confirmed(sentMillis);
      watch.storeReachabilityChanged(true);
    } else if (now - sentMillis < timing.beatMillis()) {
      noteStoreLost(now);
    }
  }

  /** A watcher that has just begun is not current before its first list. */
  private void noteStoreLost(long now) {
    if (followed.standing(now) == WatcherStanding.FOLLOWED
        && now - followed.sinceMillis(now) < timing.silenceMillis()) {
      return;
    }
    if (followed.standing(now) != WatcherStanding.STORE_LOST) {
      watch.storeReachabilityChanged(false);
      followed.record(WatcherStanding.STORE_LOST, now);
    }
  }

  /**
   * Pulls configuration from an entry that has another one. An entry whose state is the store's
   * pulls only from watchers whose state is the store's as well.
   */
  private void compareConfig(Member sender, DomainState state) {
    boolean ownCurrent = watch.running() && watch.current();
    boolean otherWatcher = state.getWatching() && state.getCurrent();
    boolean unsure = !ownCurrent && !followed.good(clock.millis());
    if (followed.is(sender.id()) || unsure || (otherWatcher && watch.running())) {
      configSync.onPeerStamp(sender.id(), new ConfigStamp(state.getConfigDigest(), 0));
    }
    if (otherWatcher && state.getConfigDigest() == merger.merged().digest()) {
      merger.markCompleteAsOf(state.getCompleteTicket());
    }
  }

  private CompletableFuture<PeerFrame.Builder> onBeat(PeerFrame request) {
    long now = clock.millis();
    DomainBeat beat = request.getDomainBeat();
    String sender = request.getSender();
    Member member = EntryKeys.toMember(beat.getState().getSelf());
    if (!sender.equals(self.id()) && !stopped) {
      learn(beat.getState(), now);
      mergeWatchers(beat.getWatchersList(), now);
      if (isOwn(member) && beat.getState().getWatching()) {
        updateStanding(member, beat.getState(), now, now);
      }
      compareConfig(member, beat.getState());
    }
    DomainBeatAck.Builder ack =
        DomainBeatAck.newBuilder().setState(state(member.failureDomain(), now));
    addMembers(ack, member.failureDomain(), beat.getState().getMembersDigest(), now);
    if (beat.getState().getWatchersDigest() != directory.digest()
        || beat.getState().getWatching()) {
      ack.addAllWatchers(directory.toRecords(now));
    }
    return CompletableFuture.completedFuture(PeerFrame.newBuilder().setDomainBeatAck(ack));
  }

  private void addMembers(DomainBeatAck.Builder ack, String domain, long digest, long now) {
    DomainMembers members = members(domain);
    boolean follower = domain.equals(self.failureDomain()) && !watch.running();
    if (follower || members.digest(now) == digest) {
      return;
    }
    for (DomainMembers.Peer peer : members.live(now)) {
      ack.addMembers(
          DomainMember.newBuilder()
              .setRecord(EntryKeys.toRecord(peer.member()))
              .setHeardAgoMillis(Math.max(0, now - peer.heardMillis()))
              .setLeaving(peer.leaving()));
    }
  }

  private void configChanged() {
    if (!watch.running() || stopped) {
      return;
    }
    ConfigPush.Builder push = pusher.changes();
    long now = clock.millis();
    push.setState(state(self.failureDomain(), now));
    for (String follower : liveOthers(now)) {
      var unused =
          messenger.request(
              follower, PeerFrame.newBuilder().setConfigPush(push), timing.silenceMillis());
    }
    scheduleSuccessorCheck();
  }

  /**
   * Has the watcher of the next domain compare its configuration, some time after a change: if it
   * was cut off from the store, it does not have the change yet.
   */
  private void scheduleSuccessorCheck() {
    if (successorCheckScheduled) {
      return;
    }
    successorCheckScheduled = true;
    loop.schedule(
        SUCCESSOR_CHECK_MILLIS,
        () -> {
          successorCheckScheduled = false;
          if (watch.running() && !stopped) {
            directory.successorOf(self.failureDomain()).ifPresent(next -> beat(next.member().id()));
          }
        });
  }

  private CompletableFuture<PeerFrame.Builder> onPush(PeerFrame request) {
    ConfigPush push = request.getConfigPush();
    if (!stopped) {
      long now = clock.millis();
      merger.mergeFromPeer(
          codec.decode(request.getSender(), push.getObjectsList()), request.getSender());
      Member member = learn(push.getState(), now);
      if (isOwn(member)) {
        updateStanding(member, push.getState(), now, now);
      }
      compareConfig(member, push.getState());
    }
    ConfigPushAck ack =
        ConfigPushAck.newBuilder().setConfigDigest(merger.merged().digest()).build();
    return CompletableFuture.completedFuture(PeerFrame.newBuilder().setConfigPushAck(ack));
  }

  private void publish(long now) {
    List<Member> live = ownMembers().live(now).stream().map(DomainMembers.Peer::member).toList();
    if (!live.equals(view.members())) {
      view = new MembershipView(view.version() + 1, self.id(), live);
    }
    fleetSize = directory.fleetSize(self.failureDomain(), live.size());
    status = currentStatus(now);
    statusListener.accept(status);
  }

  private MembershipStatus currentStatus(long now) {
    boolean current = watch.running() ? watch.current() : followed.good(now);
    List<PeerStatus> peers = new ArrayList<>();
    for (DomainMembers.Peer peer : ownMembers().live(now)) {
      if (!peer.member().id().equals(self.id())) {
        peers.add(
            new PeerStatus(
                peer.member().id(),
                Optional.of(peer.member()),
                Optional.of(now - peer.heardMillis()),
                true,
                peer.current(),
                new ConfigStamp(0, 0)));
      }
    }
    Isolation isolation =
        current
            ? Isolation.CONNECTED
            : peers.isEmpty() ? Isolation.SERVING_ALONE : Isolation.STORE_LOST;
    return new MembershipStatus(isolation, false, false, false, watch.running(), leaving, peers);
  }

  /** Returns the number of live entries in the fleet, as far as known. Thread-safe. */
  public int fleetSize() {
    return fleetSize;
  }

  @Override
  public void announceLeaving() {
    leaving = true;
    if (watch.running()) {
      announce();
    } else {
      followed.id().ifPresent(this::beat);
    }
  }

  @Override
  public CompletableFuture<Void> leave() {
    leaving = true;
    announce();
    stop();
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public void stop() {
    stopped = true;
    watch.stop();
  }

  @Override
  public MembershipView current() {
    return view;
  }

  @Override
  public MembershipStatus status() {
    return status;
  }
}
