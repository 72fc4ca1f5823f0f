package org.wagtailpin.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * What this entry knows about another one. All times are by this entry's monotonic clock, in
 * milliseconds. For use on the control loop.
 */
final class PeerRecord {

  static final long NEVER = Long.MIN_VALUE;

  private static final int PAST_INCARNATIONS = 8;

  private final String id;
  private final Deque<Long> pastIncarnations = new ArrayDeque<>();
  private Optional<Long> incarnation = Optional.empty();
  private Optional<Member> details = Optional.empty();
  private Registered registered = Registered.UNKNOWN;
  private boolean inLeased = true;
  private boolean leaving;
  private boolean storeReachable;
  private boolean wantsDetails = true;
  private long lastHeardMillis = NEVER;
  private long lastNamedMillis;
  private long countedUntilMillis;
  private long promisedUntilMillis = NEVER;
  private long firstPromiseUntilMillis;
  private boolean knowsRegistration;
  private long leaseAbsentAtMillis = NEVER;
  private long registrationAbsentAtMillis = NEVER;
  private HolderLists lists = HolderLists.none();
  private long configDigest;
  private long highestTicket;

  /**
   * Creates a record of an entry that is counted from now on.
   *
   * @param id the entry
   * @param nowMillis when it was first named
   * @param firstPromiseUntilMillis until when it counts this entry if it ever takes a share
   * @param countedUntilMillis until when this entry keeps it counted in any case
   */
  PeerRecord(String id, long nowMillis, long firstPromiseUntilMillis, long countedUntilMillis) {
    this.id = id;
    this.lastNamedMillis = nowMillis;
    this.countedUntilMillis = countedUntilMillis;
    this.firstPromiseUntilMillis = firstPromiseUntilMillis;
  }

  String id() {
    return id;
  }

  /**
   * Takes note of the incarnation that a message comes from.
   *
   * @param sender the incarnation
   * @param countedUntil until when a new incarnation counts this entry in any case
   * @return whether the message counts; one of an earlier incarnation does not
   */
  boolean accept(long sender, long countedUntil) {
    if (incarnation.isPresent() && incarnation.get() == sender) {
      return true;
    }
    if (pastIncarnations.contains(sender)) {
      return false;
    }
    if (incarnation.isPresent()) {
      forgetIncarnation(incarnation.get());
      firstPromiseUntilMillis = countedUntil;
    }
    incarnation = Optional.of(sender);
    return true;
  }

  // What an earlier process promised or knew does not bind the new one.
  private void forgetIncarnation(long past) {
    pastIncarnations.addLast(past);
    if (pastIncarnations.size() > PAST_INCARNATIONS) {
      pastIncarnations.removeFirst();
    }
    promisedUntilMillis = NEVER;
    knowsRegistration = false;
    wantsDetails = true;
    lists = HolderLists.none();
    registered = Registered.UNKNOWN;
  }

  boolean isIncarnation(long sender) {
    return incarnation.isPresent() && incarnation.get() == sender;
  }

  /** Notes a sign of life, which keeps the entry counted for a while. */
  void heard(long nowMillis, long countedForMillis) {
    lastHeardMillis = nowMillis;
    countedUntilMillis = Math.max(countedUntilMillis, nowMillis + countedForMillis);
    inLeased = true;
  }

  /** Notes that a third entry names the other one as counted. */
  void named(long nowMillis) {
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

  /** Returns until when this entry keeps the other one counted, whatever the store says. */
  long countedUntilMillis() {
    return countedUntilMillis;
  }

  /** Returns until when the other entry said to keep this one counted. */
  long promisedUntilMillis() {
    return promisedUntilMillis;
  }

  /**
   * Returns until when the other entry cannot have stopped counting this one: as long as it
   * promised, and for a first while after it became known, since it takes no share before this
   * entry answered it and counts this entry from then on.
   */
  long countsSelfUntilMillis() {
    return Math.max(promisedUntilMillis, firstPromiseUntilMillis);
  }

  void promised(long untilMillis, boolean asRegistered) {
    promisedUntilMillis = Math.max(promisedUntilMillis, untilMillis);
    knowsRegistration |= asRegistered;
  }

  /** Tells whether the other entry has counted this one as registered. */
  boolean knowsRegistration() {
    return knowsRegistration;
  }

  Registered registered() {
    return registered;
  }

  void setRegistered(Registered next) {
    // An entry stays registered for the rest of its incarnation; older messages do not undo it.
    if (registered != Registered.YES) {
      registered = next;
    }
  }

  Optional<Member> details() {
    return details;
  }

  void setDetails(Member member) {
    details = Optional.of(member);
  }

  boolean inLeased() {
    return inLeased;
  }

  void dropLeased() {
    inLeased = false;
  }

  void countLeased() {
    inLeased = true;
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

  /** Tells whether the other entry lacks this one's address. */
  boolean wantsDetails() {
    return wantsDetails;
  }

  void setWantsDetails(boolean next) {
    wantsDetails = next;
  }

  long leaseAbsentAtMillis() {
    return leaseAbsentAtMillis;
  }

  void leaseAbsentAt(long millis) {
    leaseAbsentAtMillis = Math.max(leaseAbsentAtMillis, millis);
  }

  long registrationAbsentAtMillis() {
    return registrationAbsentAtMillis;
  }

  void registrationAbsentAt(long millis) {
    registrationAbsentAtMillis = Math.max(registrationAbsentAtMillis, millis);
  }

  /** Returns the newest lists of holders that the other entry gave. */
  HolderLists lists() {
    return lists;
  }

  void setLists(HolderLists next) {
    lists = next;
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
