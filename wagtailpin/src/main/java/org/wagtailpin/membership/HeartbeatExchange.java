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
 * Sends heartbeats, acknowledges those of other entries, and processes the acknowledgements.
 * Confined to the control loop.
 */
final class HeartbeatExchange {

  private static final long HEARTBEATS_PER_LIST_REQUEST = 4;
  private static final long HEARTBEATS_PER_ABSENCE_QUERY = 2;
  private static final long HEARTBEATS_PER_REGISTRATION_QUERY = 16;
  private static final long EAGER_JOIN_MILLIS = 10_000;

  private final FleetState fleet;
  private final PeerMessenger messenger;
  private final ControlLoop loop;
  private final Clock clock;
  private final MembershipSettings settings;
  private final ConfigSync configSync;
  private boolean leaving;
  private long sequence;

  HeartbeatExchange(
      FleetState fleet,
      PeerMessenger messenger,
      ControlLoop loop,
      Clock clock,
      MembershipSettings settings,
      ConfigSync configSync) {
    this.fleet = fleet;
    this.messenger = messenger;
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.configSync = configSync;
  }

  void registerHandler() {
    messenger.setHandler(PeerFrame.BodyCase.HEARTBEAT, this::onHeartbeat);
  }

  void setLeaving() {
    leaving = true;
  }

  /** Sends a heartbeat to every other entry that is counted. */
  void sendToAll() {
    sequence++;
    for (PeerRecord record : fleet.table().records()) {
      var unused = send(record.id());
    }
  }

  /**
   * Sends a heartbeat to one entry.
   *
   * @param entry its identifier, or a name made from its address
   * @return completes when the acknowledgement has been processed, or none has come in time
   */
  CompletableFuture<Void> send(String entry) {
    long sentMillis = clock.millis();
    Heartbeat heartbeat = buildHeartbeat(fleet.table().find(entry), sentMillis);
    PeerFrame.Builder frame = PeerFrame.newBuilder().setHeartbeat(heartbeat);
    return messenger
        .request(entry, frame, settings.heartbeatMillis())
        .thenAccept(reply -> onReply(reply, heartbeat, sentMillis));
  }

  private Heartbeat buildHeartbeat(Optional<PeerRecord> receiver, long now) {
    ConfigStamp stamp = configSync.stamp();
    boolean requestsLists = shouldRequestLists(now);
    Heartbeat.Builder builder =
        Heartbeat.newBuilder()
            .setSequence(sequence)
            .setLeaving(leaving)
            .setReleased(fleet.shareTracker().released())
            .setRegistered(fleet.registered())
            .setStoreReachable(fleet.storeReachable())
            .setConfigDigest(stamp.digest())
            .setHighestTicket(stamp.highestTicket())
            .setJoining(requestsLists)
            .setWantsRecords(requestsLists && lacksRecords())
            .addAllAsksAbout(silentEntriesToQuery(now));
    if (receiver.map(PeerRecord::wantsDetails).orElse(true)) {
      Member self = fleet.self();
      builder
          .setAddress(self.address())
          .setPort(self.peerPort())
          .setRegion(self.region())
          .setFailureDomain(self.failureDomain());
    }
    return builder.build();
  }

  // Holder lists are long, so an entry that has lacked a part for some time requests fewer.
  private boolean shouldRequestLists(long now) {
    boolean eager = now - fleet.shareTracker().joiningSinceMillis() < EAGER_JOIN_MILLIS;
    return fleet.shareTracker().isJoining(now)
        && (eager || sequence % HEARTBEATS_PER_LIST_REQUEST == 0);
  }

  private boolean lacksRecords() {
    return fleet.table().records().isEmpty()
        || fleet.table().records().stream().anyMatch(record -> record.details().isEmpty());
  }

  private List<String> silentEntriesToQuery(long now) {
    if (sequence % HEARTBEATS_PER_ABSENCE_QUERY != 0) {
      return List.of();
    }
    // An entry outside the leased set may stay registered for long, so it is queried less often.
    boolean alsoRegistered = sequence % HEARTBEATS_PER_REGISTRATION_QUERY == 0;
    return fleet.table().records().stream()
        .filter(record -> now > record.countedUntilMillis())
        .filter(record -> alsoRegistered || record.inLeasedSet())
        .map(PeerRecord::id)
        .toList();
  }

  private CompletableFuture<PeerFrame.Builder> onHeartbeat(PeerFrame request) {
    long now = clock.millis();
    String sender = request.getSender();
    Heartbeat heartbeat = request.getHeartbeat();
    boolean accepts = !sender.equals(fleet.self().id()) && !fleet.shareTracker().released();
    boolean counted = accepts && processHeartbeat(request, now);
    fleet.update();
    HeartbeatAck.Builder ack = buildAck(heartbeat, counted, now);
    Optional<PeerRecord> record = fleet.table().find(sender);
    ack.setWantsDetails(record.map(found -> found.details().isEmpty()).orElse(false));
    return CompletableFuture.completedFuture(PeerFrame.newBuilder().setHeartbeatAck(ack));
  }

  /** Processes a heartbeat, and returns whether its sender is counted from now on. */
  private boolean processHeartbeat(PeerFrame frame, long now) {
    Heartbeat heartbeat = frame.getHeartbeat();
    if (heartbeat.getReleased()) {
      fleet.table().markReleased(frame.getSender(), frame.getIncarnation());
    }
    if (fleet.table().isReleased(frame.getSender(), frame.getIncarnation())) {
      return false;
    }
    PeerRecord record = fleet.table().getOrAdd(frame.getSender(), now);
    long countedFor = fleet.table().countedForMillis();
    if (!record.acceptIncarnation(frame.getIncarnation(), now + settings.promiseMillis())) {
      return false;
    }
    record.recordHeard(now, countedFor);
    record.setRegistered(
        heartbeat.getRegistered()
            ? RegistrationState.REGISTERED
            : RegistrationState.NOT_REGISTERED);
    record.setLeaving(heartbeat.getLeaving());
    record.setStoreReachable(heartbeat.getStoreReachable());
    if (!heartbeat.getAddress().isEmpty()) {
      fleet.table().updateDetails(toMember(frame), now);
    }
    recordConfigStamp(record, heartbeat.getConfigDigest(), heartbeat.getHighestTicket());
    return true;
  }

  private void recordConfigStamp(PeerRecord record, long digest, long ticket) {
    record.setConfig(digest, ticket);
    configSync.onPeerStamp(record.id(), new ConfigStamp(digest, ticket));
  }

  private static Member toMember(PeerFrame frame) {
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

  private HeartbeatAck.Builder buildAck(Heartbeat heartbeat, boolean counted, long now) {
    ConfigStamp stamp = configSync.stamp();
    HeartbeatAck.Builder ack =
        HeartbeatAck.newBuilder()
            .setSequence(heartbeat.getSequence())
            .setConfigDigest(stamp.digest())
            .setHighestTicket(stamp.highestTicket())
            .setRegistered(fleet.registered())
            .setCountsYou(counted)
            .setCountedForMillis(counted ? settings.promiseMillis() : 0);
    if (heartbeat.getJoining()) {
      addHolderLists(ack, now);
    }
    if (heartbeat.getWantsRecords()) {
      addRecords(ack);
    }
    if (heartbeat.getAsksAboutCount() > 0) {
      addAbsences(ack, heartbeat.getAsksAboutList(), now);
    }
    return ack;
  }

  private void addHolderLists(HeartbeatAck.Builder ack, long now) {
    ack.setHoldsLeased(fleet.shareTracker().holdsLeased(now))
        .setHoldsGuaranteed(fleet.shareTracker().holdsGuaranteed(now))
        .addAllCountedMembers(fleet.table().leasedSetToAdvertise())
        .addAllRegisteredMembers(fleet.table().guaranteedSetToAdvertise());
  }

  private void addRecords(HeartbeatAck.Builder ack) {
    ack.addRecords(EntryKeys.toRecord(fleet.self()));
    for (PeerRecord record : fleet.table().records()) {
      record.details().ifPresent(member -> ack.addRecords(EntryKeys.toRecord(member)));
    }
  }

  private void addAbsences(HeartbeatAck.Builder ack, List<String> entries, long now) {
    if (fleet.storeView().isEmpty()) {
      return;
    }
    StoreView view = fleet.storeView().get();
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

  private void onReply(PeerReply reply, Heartbeat heartbeat, long sentMillis) {
    if (!(reply instanceof PeerReply.Answered answered) || !answered.frame().hasHeartbeatAck()) {
      return;
    }
    PeerFrame frame = answered.frame();
    if (frame.getSender().equals(fleet.self().id()) || fleet.shareTracker().released()) {
      return;
    }
    long now = clock.millis();
    // An entry that does not count this one has left or is leaving, so its answer is ignored.
    if (!frame.getHeartbeatAck().getCountsYou()) {
      return;
    }
    PeerRecord record = fleet.table().getOrAdd(frame.getSender(), now);
    if (record.acceptIncarnation(frame.getIncarnation(), now + settings.promiseMillis())) {
      processAck(record, frame.getHeartbeatAck(), heartbeat, sentMillis);
      fleet.update();
    }
  }

  private void processAck(
      PeerRecord record, HeartbeatAck ack, Heartbeat heartbeat, long sentMillis) {
    long now = clock.millis();
    record.recordHeard(now, fleet.table().countedForMillis());
    record.setRegistered(
        ack.getRegistered() ? RegistrationState.REGISTERED : RegistrationState.NOT_REGISTERED);
    record.setWantsDetails(ack.getWantsDetails());
    record.recordPromise(sentMillis + ack.getCountedForMillis(), heartbeat.getRegistered());
    for (EntryRecord received : ack.getRecordsList()) {
      processRecord(received, now);
    }
    if (heartbeat.getJoining() && sentMillis >= fleet.shareTracker().joiningSinceMillis()) {
      processHolderLists(record, ack, sentMillis);
    }
    if (ack.getHasStoreView()) {
      processAbsences(ack, sentMillis - ack.getStoreViewAgeMillis());
    }
    recordConfigStamp(record, ack.getConfigDigest(), ack.getHighestTicket());
  }

  private void processRecord(EntryRecord received, long now) {
    Member member = EntryKeys.toMember(received);
    boolean wanted =
        !member.id().equals(fleet.self().id())
            && fleet.table().find(member.id()).flatMap(PeerRecord::details).isEmpty();
    if (wanted) {
      fleet.table().updateDetails(member, now);
    }
  }

  private void processHolderLists(PeerRecord record, HeartbeatAck ack, long sentMillis) {
    Set<String> leased = Set.copyOf(ack.getCountedMembersList());
    Set<String> guaranteed = Set.copyOf(ack.getRegisteredMembersList());
    fleet.table().addNamed(guaranteed, clock.millis());
    record.setHolderLists(
        new HolderLists(
            ack.getHoldsLeased() ? Optional.of(leased) : Optional.empty(),
            ack.getHoldsGuaranteed() ? Optional.of(guaranteed) : Optional.empty(),
            sentMillis + ack.getCountedForMillis()));
  }

  private void processAbsences(HeartbeatAck ack, long confirmedAtMillis) {
    for (String entry : ack.getAbsentLeasesList()) {
      fleet.table().find(entry).ifPresent(record -> record.recordLeaseAbsent(confirmedAtMillis));
    }
    for (String entry : ack.getAbsentRegistrationsList()) {
      fleet
          .table()
          .find(entry)
          .ifPresent(record -> record.recordRegistrationAbsent(confirmedAtMillis));
    }
  }

  /**
   * Sends a heartbeat to all other entries after the shares were released.
   *
   * @return completes on the control loop when each entry has answered or timed out
   */
  CompletableFuture<Void> announceRelease() {
    List<CompletableFuture<Void>> answers = new ArrayList<>();
    for (PeerRecord record : fleet.table().records()) {
      answers.add(send(record.id()));
    }
    return CompletableFuture.allOf(answers.toArray(CompletableFuture<?>[]::new))
        .thenRunAsync(() -> {}, loop::execute);
  }
}
