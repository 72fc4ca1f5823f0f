package org.wagtailpin.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * What this entry knows about one other entry. All times are in milliseconds of this entry's
 * monotonic clock. Confined to the control loop.
 */
final class PeerRecord {

  static final long NEVER = Long.MIN_VALUE;

  private static final int MAX_PAST_INCARNATIONS = 8;

  private final String id;
  private final Deque<Long> pastIncarnations = new ArrayDeque<>();
  private Optional<Long> incarnation = Optional.empty();
  private Optional<Member> details = Optional.empty();
  private RegistrationState registered = RegistrationState.UNKNOWN;
  private boolean inLeasedSet = true;
  private boolean leaving;
  private boolean storeReachable;
  private boolean wantsDetails = true;
  private long lastHeardMillis = NEVER;
  private long lastNamedMillis;
  private long countedUntilMillis;
  private long promisedUntilMillis = NEVER;
  private long implicitPromiseUntilMillis;
  private boolean countsThisEntryAsRegistered;
  private long leaseAbsentAtMillis = NEVER;
  private long registrationAbsentAtMillis = NEVER;
  private HolderLists holderLists = HolderLists.none();
  private long configDigest;
  private long highestTicket;

  /**
   * Creates a record of an entry that is counted from now on.
   *
   * @param id the identifier of the entry
   * @param nowMillis when this entry first learned of it
   * @param implicitPromiseUntilMillis until when it counts this entry if it holds any share
   * @param countedUntilMillis until when this entry counts it in any case
   */
  PeerRecord(String id, long nowMillis, long implicitPromiseUntilMillis, long countedUntilMillis) {
    this.id = id;
    this.lastNamedMillis = nowMillis;
    this.countedUntilMillis = countedUntilMillis;
    this.implicitPromiseUntilMillis = implicitPromiseUntilMillis;
  }

  String id() {
    return id;
  }

  /**
   * Checks the incarnation of a message's sender, and records it if it is new.
   *
   * @param senderIncarnation the incarnation
   * @param promiseUntilMillis until when a new incarnation counts this entry if it holds any share
   * @return whether to process the message; false if it is from an earlier incarnation
   */
  boolean acceptIncarnation(long senderIncarnation, long promiseUntilMillis) {
    if (incarnation.isPresent() && incarnation.get() == senderIncarnation) {
      return true;
    }
    if (pastIncarnations.contains(senderIncarnation)) {
      return false;
    }
    if (incarnation.isPresent()) {
      retireIncarnation(incarnation.get());
      implicitPromiseUntilMillis = promiseUntilMillis;
    }
    incarnation = Optional.of(senderIncarnation);
    return true;
  }

  // The promises and the knowledge of an earlier process do not carry over to the new one.
  private void retireIncarnation(long past) {
    pastIncarnations.addLast(past);
    if (pastIncarnations.size() > MAX_PAST_INCARNATIONS) {
      pastIncarnations.removeFirst();
    }
    promisedUntilMillis = NEVER;
    countsThisEntryAsRegistered = false;
    wantsDetails = true;
    holderLists = HolderLists.none();
    registered = RegistrationState.UNKNOWN;
  }

  boolean hasIncarnation(long other) {
    return incarnation.isPresent() && incarnation.get() == other;
  }

  /**
   * Records that a message of the entry arrived. This adds it to the leased set and extends the
   * time for which it is counted.
   */
  void recordHeard(long nowMillis, long countedForMillis) {
    lastHeardMillis = nowMillis;
    countedUntilMillis = Math.max(countedUntilMillis, nowMillis + countedForMillis);
    inLeasedSet = true;
  }

  /** Records that another entry named this one as counted. */
  void recordNamed(long nowMillis) {
    lastNamedMillis = nowMillis;
  }

  long lastNamedMillis() {
    return lastNamedMillis;
  }

  long lastHeardMillis() {
    return lastHeardMillis;
  }

  boolean heardWithin(long nowMillis, long millis) {
    return lastHeardMillis != NEVER && nowMillis - lastHeardMillis <= millis;
  }

  /** Returns until when this entry counts the other one, whatever the store holds. */
  long countedUntilMillis() {
    return countedUntilMillis;
  }

  /** Returns until when the other entry has promised to count this one. */
  long promisedUntilMillis() {
    return promisedUntilMillis;
  }

  /**
   * Returns until when the other entry is certain to count this one. This is the time that it
   * promised, or at least some time after it became known: it takes no share before this entry has
   * answered it, and it counts this entry from then on.
   */
  long countsThisEntryUntilMillis() {
    return Math.max(promisedUntilMillis, implicitPromiseUntilMillis);
  }

  void recordPromise(long untilMillis, boolean asRegistered) {
    promisedUntilMillis = Math.max(promisedUntilMillis, untilMillis);
    countsThisEntryAsRegistered |= asRegistered;
  }

  /** Returns whether the other entry has counted this one as registered. */
  boolean countsThisEntryAsRegistered() {
    return countsThisEntryAsRegistered;
  }

  RegistrationState registered() {
    return registered;
  }

  void setRegistered(RegistrationState next) {
    // An entry stays registered for the rest of its incarnation; late messages do not change that.
    if (registered != RegistrationState.REGISTERED) {
      registered = next;
    }
  }

  Optional<Member> details() {
    return details;
  }

  void setDetails(Member member) {
    details = Optional.of(member);
  }

  boolean inLeasedSet() {
    return inLeasedSet;
  }

  void removeFromLeasedSet() {
    inLeasedSet = false;
  }

  void addToLeasedSet() {
    inLeasedSet = true;
  }

  boolean leaving() {
    return leaving;
  }

  void setLeaving(boolean next) {
    leaving = next;
  }

  boolean storeReachable() {
    return storeReachable;
  }

  void setStoreReachable(boolean next) {
    storeReachable = next;
  }

  /** Returns whether the other entry lacks this one's address. */
  boolean wantsDetails() {
    return wantsDetails;
  }

  void setWantsDetails(boolean next) {
    wantsDetails = next;
  }

  long leaseAbsentAtMillis() {
    return leaseAbsentAtMillis;
  }

  void recordLeaseAbsent(long millis) {
    leaseAbsentAtMillis = Math.max(leaseAbsentAtMillis, millis);
  }

  long registrationAbsentAtMillis() {
    return registrationAbsentAtMillis;
  }

  void recordRegistrationAbsent(long millis) {
    registrationAbsentAtMillis = Math.max(registrationAbsentAtMillis, millis);
  }

  /** Returns the newest lists of holders received from the other entry. */
  HolderLists holderLists() {
    return holderLists;
  }

  void setHolderLists(HolderLists next) {
    holderLists = next;
  }

  long configDigest() {
    return configDigest;
  }

  long highestTicket() {
    return highestTicket;
  }

  void setConfig(long digest, long ticket) {
    configDigest = digest;
    highestTicket = ticket;
  }
}
