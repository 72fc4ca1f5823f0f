package org.wagtailpin.fleet;

import java.util.concurrent.CompletableFuture;
import org.wagtailpin.budget.FollowerCount;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigMerger;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.ConfigPush;
import org.wagtailpin.entrypeer.generated.ConfigPushAck;
import org.wagtailpin.entrypeer.generated.DomainBeat;
import org.wagtailpin.entrypeer.generated.DomainBeatAck;
import org.wagtailpin.entrypeer.generated.DomainState;
import org.wagtailpin.entrypeer.generated.PeerFrame;
import org.wagtailpin.membership.ConfigObjectCodec;
import org.wagtailpin.membership.ConfigStamp;
import org.wagtailpin.membership.ConfigSync;
import org.wagtailpin.membership.EntryKeys;
import org.wagtailpin.membership.Member;
import org.wagtailpin.store.StoreWatch;

/**
 * Sends this entry's state to other entries, answers theirs, and pushes and receives changes of the
 * configuration. Confined to the control loop.
 */
final class BeatExchange {

  private final Member self;
  private final PeerMessenger messenger;
  private final FleetKnowledge knowledge;
  private final FollowedWatcher followed;
  private final WatcherFollowing following;
  private final StoreWatch watch;
  private final ConfigMerger merger;
  private final ConfigSync configSync;
  private final FollowerCount followers;
  private final CustomerSumsExchange customerSums;
  private final ConfigObjectCodec codec = new ConfigObjectCodec();
  private final Clock clock;
  private final FleetTiming timing;
  private int unanswered;
  private boolean leaving;
  private boolean stopped;

  BeatExchange(
      Member self,
      PeerMessenger messenger,
      FleetKnowledge knowledge,
      FollowedWatcher followed,
      WatcherFollowing following,
      StoreWatch watch,
      ConfigMerger merger,
      ConfigSync configSync,
      FollowerCount followers,
      CustomerSumsExchange customerSums,
      Clock clock,
      FleetTiming timing) {
    this.self = self;
    this.messenger = messenger;
    this.knowledge = knowledge;
    this.followed = followed;
    this.following = following;
    this.watch = watch;
    this.merger = merger;
    this.configSync = configSync;
    this.followers = followers;
    this.customerSums = customerSums;
    this.clock = clock;
    this.timing = timing;
  }

  void registerHandlers() {
    messenger.setHandler(PeerFrame.BodyCase.DOMAIN_BEAT, this::onBeat);
    messenger.setHandler(PeerFrame.BodyCase.CONFIG_PUSH, this::onPush);
  }

  void setLeaving() {
    leaving = true;
  }

  void stop() {
    stopped = true;
  }

  /** Pushes changes of the configuration to the other live entries of the own domain. */
  void push(ConfigPush.Builder changes) {
    long now = clock.millis();
    changes.setState(state(self.failureDomain(), now));
    for (String follower : knowledge.liveOthers(now)) {
      var unused =
          messenger.request(
              follower, PeerFrame.newBuilder().setConfigPush(changes), timing.silenceMillis());
    }
  }

  /** Sends this entry's state to another entry, and processes its answer. */
  void send(String entry) {
    long now = clock.millis();
    DomainBeat.Builder body = DomainBeat.newBuilder().setState(state(self.failureDomain(), now));
    if (watch.running()) {
      body.addAllWatchers(knowledge.directory().toRecords(now));
    }
    customerSums.addReport(entry, body);
    unanswered++;
    var unused =
        messenger
            .request(entry, PeerFrame.newBuilder().setDomainBeat(body), timing.silenceMillis())
            .thenAccept(
                reply -> {
                  unanswered--;
                  onReply(entry, reply, now);
                });
  }

  /** Returns whether a beat was sent that has neither been answered nor failed. */
  boolean awaitsAnswer() {
    return unanswered > 0;
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
    customerSums.receive(sender, ack, sentMillis);
    compareConfig(member, ack.getState());
  }

  private void followNamed(String id, long now) {
    followed.follow(id, now);
    send(id);
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
      if (followed.is(sender.id())) {
        followed.stateEqual(clock.millis());
      }
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
      } else if (knowledge.isOwn(member)) {
        followers.beat(sender);
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
    if (knowledge.isOwn(member) && beat.getState().getWatching()) {
      // The directory holds one watcher of a domain, so that of two the sender would miss the
      // other.
      ack.addAllWatchers(knowledge.otherOwnWatchers(sender, now));
    }
    customerSums.answer(sender, member, beat, ack);
    return CompletableFuture.completedFuture(PeerFrame.newBuilder().setDomainBeatAck(ack));
  }

  /** Returns whether what this entry holds is known to be what the store holds. */
  boolean current(long now) {
    return watch.running() ? watch.current() : followed.good(now);
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
}
