package org.wagtailpin.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.entrypeer.PeerMessenger;
import org.wagtailpin.entrypeer.PeerReply;
import org.wagtailpin.entrypeer.generated.EntryRecord;
import org.wagtailpin.entrypeer.generated.Heartbeat;
import org.wagtailpin.entrypeer.generated.HeartbeatAck;
import org.wagtailpin.entrypeer.generated.PeerFrame;

/**
 * Sends heartbeats, answers those of others, and takes in the answers. Runs on the control loop.
 */
final class HeartbeatExchange {

  private static final long LISTS_EVERY = 4;
  private static final long ABSENCES_EVERY = 2;
  private static final long REGISTRATIONS_EVERY = 16;
  private static final long EAGER_JOIN_MILLIS = 10_000;

  private final EntryPlace place;
  private final PeerMessenger messenger;
  private final ControlLoop loop;
  private final Clock clock;
  private final MembershipSettings settings;
  private final ConfigWatcher config;
  private boolean leaving;
  private long sequence;

  HeartbeatExchange(
      EntryPlace place,
      PeerMessenger messenger,
      ControlLoop loop,
      Clock clock,
      MembershipSettings settings,
      ConfigWatcher config) {
    this.place = place;
    this.messenger = messenger;
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.config = config;
  }

  void listen() {
    messenger.answer(PeerFrame.BodyCase.HEARTBEAT, this::answer);
  }

  void setLeaving() {
    leaving = true;
  }

  /** Sends a heartbeat to every other entry that is counted. */
  void sendToAll() {
    sequence++;
    for (PeerRecord record : place.table().records()) {
      var unused = send(record.id());
    }
  }

  /**
   * Sends a heartbeat to one entry.
   *
   * @param entry its identifier, or a name that stands for its address
   * @return completes when the answer was taken in, or will not come
   */
  CompletableFuture<Void> send(String entry) {
    long sentMillis = clock.millis();
    Heartbeat heartbeat = heartbeat(place.table().find(entry), sentMillis);
    PeerFrame.Builder frame = PeerFrame.newBuilder().setHeartbeat(heartbeat);
    return messenger
        .request(entry, frame, settings.heartbeatMillis())
        .thenAccept(reply -> take(reply, heartbeat, sentMillis));
  }

  private Heartbeat heartbeat(Optional<PeerRecord> receiver, long now) {
    ConfigStamp stamp = config.stamp();
    boolean asksForLists = asksForLists(now);
    Heartbeat.Builder builder =
        Heartbeat.newBuilder()
            .setSequence(sequence)
            .setLeaving(leaving)
            .setReleased(place.ledger().released())
            .setRegistered(place.registered())
            .setStoreReachable(place.storeReachable())
            .setConfigDigest(stamp.digest())
            .setHighestTicket(stamp.highestTicket())
            .setJoining(asksForLists)
            .setWantsRecords(asksForLists && lacksRecords())
            .addAllAsksAbout(silentEntries(now));
    if (receiver.map(PeerRecord::wantsDetails).orElse(true)) {
      Member self = place.self();
      builder
          .setAddress(self.address())
          .setPort(self.peerPort())
          .setRegion(self.region())
          .setFailureDomain(self.failureDomain());
    }
    return builder.build();
  }

  // The lists are long, so an entry that has been missing a part for long asks for them seldom.
  private boolean asksForLists(long now) {
    boolean eager = now - place.ledger().joinSinceMillis() < EAGER_JOIN_MILLIS;
    return place.ledger().joining(now) && (eager || sequence % LISTS_EVERY == 0);
  }

  private boolean lacksRecords() {
    return place.table().records().isEmpty()
        || place.table().records().stream().anyMatch(record -> record.details().isEmpty());
  }

  private List<String> silentEntries(long now) {
    if (sequence % ABSENCES_EVERY != 0) {
      return List.of();
    }
    // An entry that lost its leased part can stay registered for long, so it is asked about less.
    boolean alsoRegistered = sequence % REGISTRATIONS_EVERY == 0;
    return place.table().records().stream()
        .filter(record -> now > record.countedUntilMillis())
        .filter(record -> alsoRegistered || record.inLeased())
        .map(PeerRecord::id)
        .toList();
  }

  private CompletableFuture<PeerFrame.Builder> answer(PeerFrame request) {
    long now = clock.millis();
    String sender = request.getSender();
    Heartbeat heartbeat = request.getHeartbeat();
    boolean takesPart = !sender.equals(place.self().id()) && !place.ledger().released();
    boolean counted = takesPart && takeHeartbeat(request, now);
    place.update();
    HeartbeatAck.Builder ack = ack(heartbeat, counted, now);
    Optional<PeerRecord> record = place.table().find(sender);
    ack.setWantsDetails(record.map(known -> known.details().isEmpty()).orElse(false));
    return CompletableFuture.completedFuture(PeerFrame.newBuilder().setHeartbeatAck(ack));
  }

  /** Takes in a heartbeat, and tells whether its sender is counted from now on. */
  private boolean takeHeartbeat(PeerFrame frame, long now) {
    Heartbeat heartbeat = frame.getHeartbeat();
    if (heartbeat.getReleased()) {
      place.table().release(frame.getSender(), frame.getIncarnation());
    }
    if (place.table().isReleased(frame.getSender(), frame.getIncarnation())) {
      return false;
    }
    PeerRecord record = place.table().note(frame.getSender(), now);
    long countedFor = place.table().countedForMillis();
    if (!record.accept(frame.getIncarnation(), now + settings.promiseMillis())) {
      return false;
    }
    record.heard(now, countedFor);
    record.setRegistered(heartbeat.getRegistered() ? Registered.YES : Registered.NO);
    record.setLeaving(heartbeat.getLeaving());
    record.setStoreReachable(heartbeat.getStoreReachable());
    if (!heartbeat.getAddress().isEmpty()) {
      place.table().learn(member(frame), now);
    }
    hearConfig(record, heartbeat.getConfigDigest(), heartbeat.getHighestTicket());
    return true;
  }

  private void hearConfig(PeerRecord record, long digest, long ticket) {
    record.setConfig(digest, ticket);
    config.heard(record.id(), new ConfigStamp(digest, ticket));
  }

  private static Member member(PeerFrame frame) {
    Heartbeat heartbeat = frame.getHeartbeat();
    return new Member(
        frame.getSender(),
        frame.getIncarnation(),
        heartbeat.getAddress(),
        heartbeat.getPort(),
        heartbeat.getRegion(),
        heartbeat.getFailureDomain(),
        heartbeat.getLeaving());
  }

  private HeartbeatAck.Builder ack(Heartbeat heartbeat, boolean counted, long now) {
    ConfigStamp stamp = config.stamp();
    HeartbeatAck.Builder ack =
        HeartbeatAck.newBuilder()
            .setSequence(heartbeat.getSequence())
            .setConfigDigest(stamp.digest())
            .setHighestTicket(stamp.highestTicket())
            .setRegistered(place.registered())
            .setCountsYou(counted)
            .setCountedForMillis(counted ? settings.promiseMillis() : 0);
    if (heartbeat.getJoining()) {
      addLists(ack, now);
    }
    if (heartbeat.getWantsRecords()) {
      addRecords(ack);
    }
    if (heartbeat.getAsksAboutCount() > 0) {
      addAbsences(ack, heartbeat.getAsksAboutList(), now);
    }
    return ack;
  }

  private void addLists(HeartbeatAck.Builder ack, long now) {
    ack.setHoldsLeased(place.ledger().holdsLeased(now))
        .setHoldsGuaranteed(place.ledger().holdsGuaranteed(now))
        .addAllCountedMembers(place.table().leasedToName())
        .addAllRegisteredMembers(place.table().guaranteedToName());
  }

  private void addRecords(HeartbeatAck.Builder ack) {
    ack.addRecords(EntryKeys.record(place.self()));
    for (PeerRecord record : place.table().records()) {
      record.details().ifPresent(member -> ack.addRecords(EntryKeys.record(member)));
    }
  }

  private void addAbsences(HeartbeatAck.Builder ack, List<String> entries, long now) {
    if (place.view().isEmpty()) {
      return;
    }
    StoreView view = place.view().get();
    ack.setHasStoreView(true).setStoreViewAgeMillis(now - view.confirmedAtMillis());
    for (String entry : entries) {
      if (!view.leased().contains(entry)) {
        ack.addAbsentLeases(entry);
      }
      if (!view.registered().containsKey(entry)) {
        ack.addAbsentRegistrations(entry);
      }
    }
  }

  private void take(PeerReply reply, Heartbeat heartbeat, long sentMillis) {
    if (!(reply instanceof PeerReply.Answered answered) || !answered.frame().hasHeartbeatAck()) {
      return;
    }
    PeerFrame frame = answered.frame();
    if (frame.getSender().equals(place.self().id()) || place.ledger().released()) {
      return;
    }
    long now = clock.millis();
    // An entry that does not count this one takes no part: it has left, or is about to.
    if (!frame.getHeartbeatAck().getCountsYou()) {
      return;
    }
    PeerRecord record = place.table().note(frame.getSender(), now);
    if (record.accept(frame.getIncarnation(), now + settings.promiseMillis())) {
      takeAck(record, frame.getHeartbeatAck(), heartbeat, sentMillis);
      place.update();
    }
  }

  private void takeAck(PeerRecord record, HeartbeatAck ack, Heartbeat heartbeat, long sentMillis) {
    long now = clock.millis();
    record.heard(now, place.table().countedForMillis());
    record.setRegistered(ack.getRegistered() ? Registered.YES : Registered.NO);
    record.setWantsDetails(ack.getWantsDetails());
    record.promised(sentMillis + ack.getCountedForMillis(), heartbeat.getRegistered());
    for (EntryRecord known : ack.getRecordsList()) {
      takeRecord(known, now);
    }
    if (heartbeat.getJoining() && sentMillis >= place.ledger().joinSinceMillis()) {
      takeLists(record, ack, sentMillis);
    }
    if (ack.getHasStoreView()) {
      takeAbsences(ack, sentMillis - ack.getStoreViewAgeMillis());
    }
    hearConfig(record, ack.getConfigDigest(), ack.getHighestTicket());
  }

  private void takeRecord(EntryRecord known, long now) {
    Member member = EntryKeys.member(known);
    boolean wanted =
        !member.id().equals(place.self().id())
            && place.table().find(member.id()).flatMap(PeerRecord::details).isEmpty();
    if (wanted) {
      place.table().learn(member, now);
    }
  }

  private void takeLists(PeerRecord record, HeartbeatAck ack, long sentMillis) {
    Set<String> leased = Set.copyOf(ack.getCountedMembersList());
    Set<String> guaranteed = Set.copyOf(ack.getRegisteredMembersList());
    place.table().noteAll(guaranteed, clock.millis());
    record.setLists(
        new HolderLists(
            ack.getHoldsLeased() ? Optional.of(leased) : Optional.empty(),
            ack.getHoldsGuaranteed() ? Optional.of(guaranteed) : Optional.empty(),
            sentMillis + ack.getCountedForMillis()));
  }

  private void takeAbsences(HeartbeatAck ack, long confirmedAtMillis) {
    for (String entry : ack.getAbsentLeasesList()) {
      place.table().find(entry).ifPresent(record -> record.leaseAbsentAt(confirmedAtMillis));
    }
    for (String entry : ack.getAbsentRegistrationsList()) {
      place.table().find(entry).ifPresent(record -> record.registrationAbsentAt(confirmedAtMillis));
    }
  }

  /** Tells all others that this entry gave up its shares; completes when all answered or not. */
  CompletableFuture<Void> announceRelease() {
    List<CompletableFuture<Void>> answers = new ArrayList<>();
    for (PeerRecord record : place.table().records()) {
      answers.add(send(record.id()));
    }
    return CompletableFuture.allOf(answers.toArray(CompletableFuture<?>[]::new))
        .thenRunAsync(() -> {}, loop::execute);
  }
}
