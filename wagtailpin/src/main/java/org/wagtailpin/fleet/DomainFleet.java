package org.wagtailpin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.ConfigPush;
import org.wagtailpin.entrypeer.generated.ConfigPushAck;
import org.wagtailpin.entrypeer.generated.DomainBeat;
import org.wagtailpin.entrypeer.generated.DomainBeatAck;
import org.wagtailpin.entrypeer.generated.DomainState;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.membership.ConfigObjectCodec;
import org.wagtailpin.membership.ConfigStamp;
import org.wagtailpin.membership.ConfigSync;
import org.wagtailpin.membership.EntryKeys;
import org.wagtailpin.membership.FleetMembership;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.MembershipStatus;
import org.wagtailpin.membership.MembershipView;
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
  private final WatcherFollowing following;
  private final FleetKnowledge knowledge;
  private final FleetStatus status;
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
    this.knowledge = new FleetKnowledge(self, domains, addresses);
    this.following = new WatcherFollowing(followed, knowledge, watch, timing, events);
    this.status = new FleetStatus(self, domains.size(), knowledge, watch, followed);
  }

  @Override
  public void setStatusListener(Consumer<MembershipStatus> listener) {
    status.setListener(listener);
  }

  @Override
  public void start() {
    messenger.setHandler(PeerFrame.BodyCase.DOMAIN_BEAT, this::onBeat);
    messenger.setHandler(PeerFrame.BodyCase.CONFIG_PUSH, this::onPush);
    merger.addListener(merged -> configChanged());
    followed.lose(clock.millis());
    tick();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    long now = clock.millis();
    knowledge.recordSelf(now, leaving, watch.running(), current(now));
    if (watch.running()) {
      watchStep(now);
    } else {
      followStep(now);
    }
    knowledge.forgetOld(now);
    status.publish(now, leaving);
    double jitter = 1 - TICK_JITTER + 2 * TICK_JITTER * random.nextDouble();
    loop.schedule((long) (timing.beatMillis() * jitter / TICKS_PER_BEAT), this::tick);
  }

  /** Returns whether what this entry holds is known to be what the store holds. */
  private boolean current(long now) {
    return watch.running() ? watch.current() : followed.good(now);
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
    int rank =
        knowledge.ownMembers().rank(self.id(), followed.id(), now) + (leaving ? LEAVING_RANKS : 0);
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
    knowledge.liveOthers(clock.millis()).stream().limit(MAX_CONTACTS).forEach(this::beat);
  }

  private void startWatching(WatcherStanding standing, int rank, long now) {
    events.recordEvent(
        Event.of(EventKind.WATCHER_ELECTED)
            .with("reason", standing.name())
            .with("rank", rank)
            .with("before", followed.id().orElse("")));
    challenged = standing == WatcherStanding.STORE_LOST ? followed.id() : Optional.empty();
    if (standing == WatcherStanding.LINK_LOST || standing == WatcherStanding.SILENT) {
      followed.id().ifPresent(knowledge.ownMembers()::lost);
    }
    watchingSinceMillis = now;
    pusher.restart();
    ping.reset();
    watch.start();
    announce();
    seeds.forEach(this::beat);
    knowledge
        .directory()
        .successorOf(self.failureDomain())
        .ifPresent(next -> beat(next.member().id()));
  }

  /** Sends a beat to all live entries of the own domain. */
  private void announce() {
    knowledge.liveOthers(clock.millis()).forEach(this::beat);
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
      knowledge.takeRivals(now).forEach(this::beat);
    }
    long period = watch.current() ? timing.exchangeMillis() : STORELESS_EXCHANGE_MILLIS;
    if (now - lastExchangeMillis >= period) {
      lastExchangeMillis = now;
      exchange();
    }
  }

  /** Returns another watcher of the domain to which this one gives way, if there is any. */
  private Optional<String> betterWatcher(long now) {
    return knowledge.ownMembers().live(now).stream()
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
    for (WatcherDirectory.Watcher watcher : knowledge.directory().all()) {
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
      body.addAllWatchers(knowledge.directory().toRecords(now));
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
        .setCurrent(current(now))
        .setConfigDigest(stamp.digest())
        .setCompleteTicket(merger.merged().completeTicket())
        .setMembersDigest(knowledge.members(receiverDomain).digest(now))
        .setDomainSize(knowledge.ownSize(now))
        .setWatchersDigest(knowledge.directory().digest())
        .build();
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
    Member member = knowledge.learn(ack.getState(), now);
    knowledge.mergeMembers(ack.getMembersList(), now);
    knowledge.mergeWatchers(ack.getWatchersList(), now);
    if (followed.is(sender) && ack.getWatchersCount() == 0) {
      knowledge.directory().confirmAll(now);
    }
    if (followed.is(sender) && ack.getMembersCount() == 0) {
      knowledge.ownMembers().confirmLive(now);
    }
    if (knowledge.isOwn(member)) {
      following.update(member, ack.getState(), sentMillis, now);
    } else if (followed.id().isEmpty()) {
      knowledge
          .directory()
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
    knowledge.directory().remove(entry);
    if (followed.is(entry) && !watch.running()) {
      followed.record(WatcherStanding.LINK_LOST, now);
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
      knowledge.learn(beat.getState(), now);
      knowledge.mergeWatchers(beat.getWatchersList(), now);
      if (knowledge.isOwn(member) && beat.getState().getWatching()) {
        following.update(member, beat.getState(), now, now);
      }
      compareConfig(member, beat.getState());
    }
    DomainBeatAck.Builder ack =
        DomainBeatAck.newBuilder().setState(state(member.failureDomain(), now));
    boolean toFollower = knowledge.isOwn(member) && !watch.running();
    if (!toFollower) {
      long digest = beat.getState().getMembersDigest();
      ack.addAllMembers(knowledge.membersUnless(member.failureDomain(), digest, now));
    }
    if (beat.getState().getWatchersDigest() != knowledge.directory().digest()
        || beat.getState().getWatching()) {
      ack.addAllWatchers(knowledge.directory().toRecords(now));
    }
    return CompletableFuture.completedFuture(PeerFrame.newBuilder().setDomainBeatAck(ack));
  }

  private void configChanged() {
    if (!watch.running() || stopped) {
      return;
    }
    ConfigPush.Builder push = pusher.changes();
    long now = clock.millis();
    push.setState(state(self.failureDomain(), now));
    for (String follower : knowledge.liveOthers(now)) {
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
            knowledge
                .directory()
                .successorOf(self.failureDomain())
                .ifPresent(next -> beat(next.member().id()));
          }
        });
  }

  private CompletableFuture<PeerFrame.Builder> onPush(PeerFrame request) {
    ConfigPush push = request.getConfigPush();
    if (!stopped) {
      long now = clock.millis();
      merger.mergeFromPeer(
          codec.decode(request.getSender(), push.getObjectsList()), request.getSender());
      Member member = knowledge.learn(push.getState(), now);
      if (knowledge.isOwn(member)) {
        following.update(member, push.getState(), now, now);
      }
      compareConfig(member, push.getState());
    }
    ConfigPushAck ack =
        ConfigPushAck.newBuilder().setConfigDigest(merger.merged().digest()).build();
    return CompletableFuture.completedFuture(PeerFrame.newBuilder().setConfigPushAck(ack));
  }

  /** Returns the number of live entries in the fleet, as far as known. Thread-safe. */
  public int fleetSize() {
    return status.fleetSize();
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
    return status.view();
  }

  @Override
  public MembershipStatus status() {
    return status.current();
  }
}
