package org.wagtailpin.membership;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.wagtailpin.entrypeer.MutableAddressBook;

/** The other entries that this entry counts, by identifier. Confined to the control loop. */
final class PeerTable {

  private static final int MAX_RELEASED_INCARNATIONS = 1024;

  private final String self;
  private final MutableAddressBook addresses;
  private final long promiseMillis;
  private final long countedForMillis;
  private final Map<String, PeerRecord> records = new TreeMap<>();
  private final Map<String, Long> releasedIncarnations =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_RELEASED_INCARNATIONS;
        }
      };

  /**
   * Creates an empty table.
   *
   * @param self the identifier of this entry, which the table never contains
   * @param addresses receives the addresses of the entries
   * @param settings how long an entry is counted after it is added
   */
  PeerTable(String self, MutableAddressBook addresses, MembershipSettings settings) {
    this.self = self;
    this.addresses = addresses;
    this.promiseMillis = settings.promiseMillis();
    this.countedForMillis = settings.promiseMillis() + settings.promiseMarginMillis();
  }

  /** Returns how long an entry stays counted after its last message, in milliseconds. */
  long countedForMillis() {
    return countedForMillis;
  }

  Optional<PeerRecord> find(String entry) {
    return Optional.ofNullable(records.get(entry));
  }

  /**
   * Returns the record of another entry, which is added if there is none.
   *
   * @throws IllegalArgumentException if the entry is this one
   */
  PeerRecord getOrAdd(String entry, long nowMillis) {
    if (entry.equals(self)) {
      throw new IllegalArgumentException(
          "the peer table cannot contain this entry itself: " + entry);
    }
    return records.computeIfAbsent(
        entry,
        id ->
            new PeerRecord(id, nowMillis, nowMillis + promiseMillis, nowMillis + countedForMillis));
  }

  void addNamed(Collection<String> entries, long nowMillis) {
    for (String entry : entries) {
      if (!entry.equals(self)) {
        getOrAdd(entry, nowMillis).recordNamed(nowMillis);
      }
    }
  }

  void updateDetails(Member member, long nowMillis) {
    getOrAdd(member.id(), nowMillis).setDetails(member);
    addresses.setAddress(member.id(), member.address(), member.peerPort());
  }

  void remove(String entry) {
    records.remove(entry);
    addresses.removeAddress(entry);
  }

  /** Records that an incarnation of an entry has released all its shares permanently. */
  void markReleased(String entry, long incarnation) {
    releasedIncarnations.put(entry, incarnation);
    if (find(entry).map(record -> record.hasIncarnation(incarnation)).orElse(false)) {
      remove(entry);
    }
  }

  /** Returns whether the incarnation is known to have released all its shares permanently. */
  boolean isReleased(String entry, long incarnation) {
    Long released = releasedIncarnations.get(entry);
    return released != null && released == incarnation;
  }

  Collection<PeerRecord> records() {
    return List.copyOf(records.values());
  }

  List<PeerRecord> leasedRecords() {
    return records.values().stream().filter(PeerRecord::inLeasedSet).toList();
  }

  /** Returns the entries over which the guaranteed part is split, including this one. */
  Set<String> guaranteedSet() {
    return withSelf(record -> true);
  }

  /** Returns the entries over which the leased part is split, including this one. */
  Set<String> leasedSet() {
    return withSelf(PeerRecord::inLeasedSet);
  }

  /**
   * Returns the entries to name to other entries for the guaranteed part. Entries that were only
   * named to this one are left out: naming them in turn would keep them counted without end, and
   * they hold no share that depends on being counted here.
   */
  Set<String> guaranteedSetToAdvertise() {
    return withSelf(PeerTable::isKnownFirstHand);
  }

  /** Returns the entries to name to other entries for the leased part. */
  Set<String> leasedSetToAdvertise() {
    return withSelf(record -> record.inLeasedSet() && isKnownFirstHand(record));
  }

  private static boolean isKnownFirstHand(PeerRecord record) {
    return record.registered() != RegistrationState.UNKNOWN;
  }

  private Set<String> withSelf(Predicate<PeerRecord> condition) {
    Set<String> set = new TreeSet<>();
    records.values().stream().filter(condition).forEach(record -> set.add(record.id()));
    set.add(self);
    return set;
  }
}
