package org.wagtailpin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.budget.BudgetPeers;
import org.wagtailpin.budget.FollowerCount;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.config.StateConfirmation;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.MutableAddressBook;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.limits.DomainCustomerSums;
import org.wagtailpin.membership.ConfigSync;
import org.wagtailpin.membership.FleetMembership;
import org.wagtailpin.membership.HighestCount;
import org.wagtailpin.membership.Member;
import org.wagtailpin.membership.MembershipStatus;
import org.wagtailpin.membership.MembershipView;
import org.wagtailpin.store.Store;
import org.wagtailpin.store.StoreWatch;

/**
 * Membership of an entry in a fleet in which one entry of each failure domain watches the store.
 *
 * <p>The watcher pushes changes to the other entries of its domain, which send it a beat at short
 * intervals. A follower whose watcher is lost, leaves or has lost the store watches the store
 * itself in its turn. Watchers of different domains exchange the sizes of their domains and compare
 * their configuration. An entry that knows nobody contacts the seeds of its settings. The protocol
 * is described in {@code docs/design/fleet.md}.
 */
public final class DomainFleet implements FleetMembership {

  private static final int TICKS_PER_BEAT = 2;
  private static final double TICK_JITTER = 0.1;
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** After how long a watcher whose first list of the store fails gives way to the one before. */
  private static final long CHALLENGE_MILLIS = 600;

  /** Interval of the steps of an entry that knows no watcher, so that it finds one soon. */
  private static final long SEARCH_TICK_MILLIS = 50;

  /** Interval at which an entry that knows no watcher contacts others. */
  private static final long SEARCH_BEAT_MILLIS = 150;

  /** How long an entry that starts waits for the answers of hosts that are up but busy. */
  private static final long ANSWER_WAIT_MILLIS = 400;

  private static final long STORELESS_EXCHANGE_MILLIS = 1_000;
  private static final long SUCCESSOR_CHECK_MILLIS = 500;
  private static final int MAX_CONTACTS = 4;

  /** For how long an entry that was cut off from its domain does not take itself for all of it. */
  private static final long DOMAIN_SIZE_MEMORY_MILLIS = 2 * 3_600_000;

  /** By how many ranks an entry that leaves comes later in the order of succession. */
  private static final int LEAVING_RANKS = 6;

  private final Member self;
  private final StoreWatch watch;
  private final ConfigMerger merger;
  private final ControlLoop loop;
  private final Clock clock;
  private final UniformRandomProvider random;
  private final FleetTiming timing;
  private final EventLog events;
  private final List<String> seeds;
  private final SuccessionRule succession;
  private final StorePing ping;
  private final WatcherChallenge challenge;
  private final ConfigPusher pusher;
  private final FollowedWatcher followed;
  private final BeatExchange beats;
  private final FleetKnowledge knowledge;
  private final FleetStatus status;
  private final ShareHolders holders;
  private final FollowerCount followers;
  private Optional<String> challenged = Optional.empty();
  private long watchingSinceMillis = NEVER;
  private long lastBeatMillis = NEVER;
  private long lastExchangeMillis = NEVER;
  private boolean announcedCurrent;
  private boolean successorCheckScheduled;
  private int comparedMissedChanges;
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
   * @param customerSums the sums of customers that are exchanged within the failure domain
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
      EventLog events,
      DomainCustomerSums customerSums) {
    this.self = self;
    this.watch = watch;
    this.merger = merger;
    this.loop = loop;
    this.clock = clock;
    this.random = random;
    this.timing = timing;
    this.events = events;
    String ownAddress = MutableAddressBook.addressName(self.address(), self.peerPort());
    this.seeds = seeds.stream().filter(seed -> !seed.equals(ownAddress)).toList();
    this.succession = new SuccessionRule(timing);
    this.ping = new StorePing(store, watch, loop, clock, timing, this::announceStoreState);
    this.challenge = new WatcherChallenge(store, loop, clock, timing);
    this.pusher = new ConfigPusher(merger);
    this.followed = new FollowedWatcher(timing, clock.millis());
    this.knowledge = new FleetKnowledge(self, domains, addresses);
    this.followers =
        new FollowerCount(
            new HighestCount(
                () -> knowledge.ownSize(clock.millis()), clock, DOMAIN_SIZE_MEMORY_MILLIS),
            clock);
    this.holders = new ShareHolders(self, knowledge, followed, watch, followers);
    this.beats =
        new BeatExchange(
            self,
            messenger,
            knowledge,
            followed,
            new WatcherFollowing(followed, knowledge, watch, timing, events),
            watch,
            merger,
            configSync,
            followers,
            new CustomerSumsExchange(self, followed, watch::running, customerSums),
            clock,
            timing);
    this.status = new FleetStatus(self, domains.size(), knowledge, watch, followed);
  }

  @Override
  public void setStatusListener(Consumer<MembershipStatus> listener) {
    status.setListener(listener);
  }

  @Override
  public void start() {
    beats.registerHandlers();
    merger.addListener(merged -> configChanged());
    followed.lose(clock.millis());
    tick();
  }

  private void tick() {
    if (stopped) {
      return;
    }
    try {
      step();
    } finally {
      // An exception of one step must not end the membership.
      double jitter = 1 - TICK_JITTER + 2 * TICK_JITTER * random.nextDouble();
      loop.schedule((long) (tickMillis() * jitter), this::tick);
    }
  }

  private double tickMillis() {
    double usual = (double) timing.beatMillis() / TICKS_PER_BEAT;
    return searching() ? Math.min(SEARCH_TICK_MILLIS, usual) : usual;
  }

  /** Returns whether this entry neither watches the store nor knows who does. */
  private boolean searching() {
    return !watch.running() && followed.id().isEmpty();
  }

  private double beatMillis() {
    return searching() ? Math.min(SEARCH_BEAT_MILLIS, timing.beatMillis()) : timing.beatMillis();
  }

  private void step() {
    long now = clock.millis();
    knowledge.recordSelf(now, leaving, watch.running(), beats.current(now));
    followers.observeSize();
    if (watch.running()) {
      watchStep(now);
    } else {
      followStep(now);
    }
    knowledge.forgetOld(now);
    status.publish(now, leaving);
    merger.publishMissed();
  }

  private void followStep(long now) {
    if (now - lastBeatMillis >= beatMillis() * (1 - TICK_JITTER)) {
      lastBeatMillis = now;
      followed.id().ifPresent(beats::send);
      if (!followed.good(now)) {
        contactAnyone();
      }
    }
    WatcherStanding standing = followed.standing(now);
    boolean mayChallenge = standing != WatcherStanding.STORE_LOST || challenge.allowed();
    int rank =
        knowledge.ownMembers().rank(self.id(), followed.id(), now) + (leaving ? LEAVING_RANKS : 0);
    OptionalLong wait = succession.waitMillis(standing, rank);
    if (wait.isPresent() && mayChallenge) {
      long elapsed = now - followed.sinceMillis(now);
      if (elapsed >= wait.getAsLong() && standing == WatcherStanding.STORE_LOST) {
        challenge.run(() -> endChallenge(rank));
      } else if (elapsed >= wait.getAsLong() + answerWaitMillis(standing)) {
        startWatching(standing, rank, now);
      }
    }
  }

  /**
   * Returns how much longer an entry that knows no watcher waits for the answers of those that it
   * contacted. Entries that start together are busy, so that answers come late; without this wait
   * most of them list the store at the same time.
   */
  private long answerWaitMillis(WatcherStanding standing) {
    return standing == WatcherStanding.UNKNOWN && beats.awaitsAnswer() ? ANSWER_WAIT_MILLIS : 0;
  }

  private void endChallenge(int rank) {
    long now = clock.millis();
    boolean stillLost = followed.standing(now) == WatcherStanding.STORE_LOST;
    if (stillLost && !watch.running() && !stopped) {
      startWatching(WatcherStanding.STORE_LOST, rank, now);
    }
  }

  private void contactAnyone() {
    seeds.forEach(beats::send);
    knowledge.liveOthers(clock.millis()).stream().limit(MAX_CONTACTS).forEach(beats::send);
  }

  private void startWatching(WatcherStanding standing, int rank, long now) {
    events.recordEvent(
        Event.of(EventKind.WATCHER_ELECTED)
            .with("reason", standing.name())
            .with("rank", rank)
            .with("before", followed.id().orElse("")));
    challenged = standing == WatcherStanding.STORE_LOST ? followed.id() : Optional.empty();
    if (standing == WatcherStanding.LINK_LOST || standing == WatcherStanding.SILENT) {
      followed.id().ifPresent(id -> knowledge.ownMembers().lost(id, now));
    }
    watchingSinceMillis = now;
    pusher.restart();
    ping.reset();
    watch.start();
    announcedCurrent = false;
    announce();
    seeds.forEach(beats::send);
    knowledge.nextWatcher().ifPresent(beats::send);
  }

  /** Sends a beat to all live entries of the own domain. */
  private void announce() {
    knowledge.liveOthers(clock.millis()).forEach(beats::send);
  }

  /** Announces the loss or the return of the store, on which followers depend. */
  private void announceStoreState() {
    if (watch.running() && announcedCurrent != watch.current()) {
      announcedCurrent = watch.current();
      announce();
    }
  }

  private void watchStep(long now) {
    announceStoreState();
    Optional<String> other = betterWatcher(now);
    if (other.isPresent()) {
      stopWatching(other.get(), now);
      return;
    }
    if (watch.current()) {
      // From its first list on, this watcher does not give way to the one that it replaced.
      challenged = Optional.empty();
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
      knowledge.takeRivals(now).forEach(beats::send);
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
    beats.send(successor);
  }

  /** Sends a beat to one partner: another watcher, or a seed, which names it to new entries. */
  private void exchange() {
    List<String> partners = new ArrayList<>(knowledge.otherWatchers());
    partners.addAll(seeds);
    if (!partners.isEmpty()) {
      beats.send(partners.get(random.nextInt(partners.size())));
    }
  }

  private void configChanged() {
    if (!watch.running() || stopped) {
      return;
    }
    beats.push(pusher.changes());
    if (watch.missedChanges() > comparedMissedChanges) {
      comparedMissedChanges = watch.missedChanges();
      // All watches wait for the same change, so that the others may have missed it, too.
      knowledge.otherWatchers().forEach(beats::send);
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
            knowledge.nextWatcher().ifPresent(beats::send);
          }
        });
  }

  /** Returns the holders of shared budgets, to be called on the control loop. */
  public BudgetPeers budgetPeers() {
    return holders;
  }

  /** Returns the number of live entries in the fleet, as far as known. Thread-safe. */
  public int fleetSize() {
    return status.fleetSize();
  }

  /**
   * Returns when this entry's state was last known to be the store's: by an answer to its own watch
   * or by the watcher it follows, whichever was later. Thread-safe.
   */
  public Optional<StateConfirmation> confirmation() {
    long answerMillis = watch.lastAnswerMillis();
    Optional<StateConfirmation> told = followed.confirmation();
    return answerMillis == StoreWatch.NEVER
            || told.filter(last -> last.atMillis() > answerMillis).isPresent()
        ? told
        : Optional.of(new StateConfirmation(StateConfirmation.STORE, answerMillis));
  }

  @Override
  public void announceLeaving() {
    leaving = true;
    beats.setLeaving();
    if (watch.running()) {
      announce();
    } else {
      followed.id().ifPresent(beats::send);
    }
  }

  @Override
  public CompletableFuture<Void> leave() {
    leaving = true;
    beats.setLeaving();
    announce();
    stop();
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public void stop() {
    stopped = true;
    beats.stop();
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
