package org.wagtailpin.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which parts of its shares this entry holds, and until when.
 *
 * <p>A part is acquired only when every entry in its set has promised to count this one and the set
 * is known to contain every holder. This is known from an entry that holds the part and sent its
 * own set, or from registrations read from the store after this entry had registered. The leased
 * part is then held while the lease or all those promises are valid, the guaranteed part until it
 * is released. An entry that is not registered yet holds either part only while all promises are
 * valid, at least one of them from a registered entry. Confined to the control loop.
 */
final class ShareTracker {

  private final PeerTable table;
  private boolean guaranteedHeldPermanently;
  private boolean leasedAsRegistered;
  private boolean released;
  private long guaranteedUntilMillis = ShareValidity.NOT_HELD;
  private long leasedUntilMillis = ShareValidity.NOT_HELD;
  private long joiningSinceMillis;

  ShareTracker(PeerTable table, long startMillis) {
    this.table = table;
    this.joiningSinceMillis = startMillis;
  }

  /**
   * This entry's own keys in the store. Times are in milliseconds of the monotonic clock.
   *
   * @param registered whether the store is known to hold its registration
   * @param leaseUntilMillis until when its lease is held
   * @param registrationsReadMillis when the newest call was sent that read all registrations,
   *     including its own
   */
  record OwnStoreState(boolean registered, long leaseUntilMillis, long registrationsReadMillis) {}

  /** Releases both parts permanently. */
  void release() {
    released = true;
  }

  boolean released() {
    return released;
  }

  /** Returns since when a part has been missing; earlier lists of holders are not used. */
  long joiningSinceMillis() {
    return joiningSinceMillis;
  }

  boolean holdsLeased(long nowMillis) {
    return !released && nowMillis < leasedUntilMillis;
  }

  boolean holdsGuaranteed(long nowMillis) {
    return !released && nowMillis < guaranteedUntilMillis;
  }

  /** Returns whether this entry lacks a part, or holds one only as an unregistered entry. */
  boolean isJoining(long nowMillis) {
    return !released
        && (!guaranteedHeldPermanently || !holdsLeased(nowMillis) || !leasedAsRegistered);
  }

  /** Acquires, extends or drops the parts as the table and the store now allow. */
  void evaluate(long nowMillis, OwnStoreState storeState) {
    boolean registrationsReadSinceJoin = storeState.registrationsReadMillis() >= joiningSinceMillis;
    evaluateGuaranteed(nowMillis, storeState, registrationsReadSinceJoin);
    evaluateLeased(nowMillis, storeState, registrationsReadSinceJoin);
  }

  private void evaluateGuaranteed(
      long nowMillis, OwnStoreState storeState, boolean registrationsReadSinceJoin) {
    if (guaranteedHeldPermanently) {
      return;
    }
    boolean complete = registrationsReadSinceJoin || hasGuaranteedHolderList(nowMillis);
    Collection<PeerRecord> all = table.records();
    if (!complete || !allPromisesValid(all, nowMillis)) {
      return;
    }
    if (storeState.registered() && allCountThisEntryAsRegistered(all)) {
      guaranteedHeldPermanently = true;
      guaranteedUntilMillis = ShareValidity.NO_END;
    } else if (hasPromiseFromRegisteredEntry(nowMillis)) {
      guaranteedUntilMillis = earliestPromiseEnd(all);
    }
  }

  private void evaluateLeased(
      long nowMillis, OwnStoreState storeState, boolean registrationsReadSinceJoin) {
    if (nowMillis < leasedUntilMillis) {
      extendLeased(nowMillis, storeState);
      return;
    }
    if (leasedUntilMillis != ShareValidity.NOT_HELD) {
      clearLeased(nowMillis);
      return;
    }
    if (!updateLeasedSet(nowMillis, registrationsReadSinceJoin)) {
      return;
    }
    List<PeerRecord> counted = table.leasedRecords();
    if (!allPromisesValid(counted, nowMillis)) {
      return;
    }
    leasedAsRegistered = storeState.registered() && allCountThisEntryAsRegistered(counted);
    extendLeased(nowMillis, storeState);
  }

  private void clearLeased(long nowMillis) {
    leasedUntilMillis = ShareValidity.NOT_HELD;
    leasedAsRegistered = false;
    joiningSinceMillis = nowMillis;
    table.records().forEach(record -> record.setHolderLists(HolderLists.none()));
  }

  private void extendLeased(long nowMillis, OwnStoreState storeState) {
    List<PeerRecord> counted = table.leasedRecords();
    if (!leasedAsRegistered) {
      leasedAsRegistered = storeState.registered() && allCountThisEntryAsRegistered(counted);
    }
    if (leasedAsRegistered) {
      extendLeasedTo(storeState.leaseUntilMillis());
      // An entry that counts no other has no promises, only its lease.
      if (!counted.isEmpty()) {
        extendLeasedTo(earliestPromiseEnd(counted));
      }
    } else if (hasPromiseFromRegisteredEntry(nowMillis)) {
      extendLeasedTo(earliestPromiseEnd(table.records()));
    }
  }

  private void extendLeasedTo(long untilMillis) {
    leasedUntilMillis = Math.max(leasedUntilMillis, untilMillis);
  }

  /** Updates the leased set, and returns whether it is known to contain every holder. */
  private boolean updateLeasedSet(long nowMillis, boolean registrationsReadSinceJoin) {
    Optional<Set<String>> holders = leasedHolders(nowMillis);
    if (holders.isEmpty()) {
      table.records().forEach(PeerRecord::addToLeasedSet);
      return registrationsReadSinceJoin;
    }
    table.addNamed(holders.get(), nowMillis);
    for (PeerRecord record : table.records()) {
      if (holders.get().contains(record.id()) || nowMillis <= record.countedUntilMillis()) {
        record.addToLeasedSet();
      } else {
        record.removeFromLeasedSet();
      }
    }
    return true;
  }

  private Optional<Set<String>> leasedHolders(long nowMillis) {
    Set<String> union = new TreeSet<>();
    boolean found = false;
    for (PeerRecord record : table.records()) {
      HolderLists lists = record.holderLists();
      if (lists.isFresh(nowMillis) && lists.leased().isPresent()) {
        found = true;
        union.add(record.id());
        union.addAll(lists.leased().get());
      }
    }
    return found ? Optional.of(union) : Optional.empty();
  }

  private boolean hasGuaranteedHolderList(long nowMillis) {
    return table.records().stream()
        .map(PeerRecord::holderLists)
        .anyMatch(lists -> lists.isFresh(nowMillis) && lists.guaranteed().isPresent());
  }

  private boolean hasPromiseFromRegisteredEntry(long nowMillis) {
    return table.records().stream()
        .anyMatch(
            record ->
                record.registered() == RegistrationState.REGISTERED
                    && record.promisedUntilMillis() > nowMillis);
  }

  private static boolean allPromisesValid(Collection<PeerRecord> records, long nowMillis) {
    return records.stream().allMatch(record -> record.promisedUntilMillis() > nowMillis);
  }

  private static boolean allCountThisEntryAsRegistered(Collection<PeerRecord> records) {
    return records.stream().allMatch(PeerRecord::countsThisEntryAsRegistered);
  }

  private static long earliestPromiseEnd(Collection<PeerRecord> records) {
    return records.stream()
        .mapToLong(PeerRecord::countsThisEntryUntilMillis)
        .min()
        .orElse(ShareValidity.NOT_HELD);
  }

  ShareValidity validity(CountedSets sets) {
    if (released) {
      return new ShareValidity(sets, ShareValidity.NOT_HELD, ShareValidity.NOT_HELD);
    }
    return new ShareValidity(sets, guaranteedUntilMillis, leasedUntilMillis);
  }
}
