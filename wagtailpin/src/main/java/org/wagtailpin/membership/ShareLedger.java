package org.wagtailpin.membership;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which parts of its shares this entry holds, and until when.
 *
 * <p>A part is taken only at a moment at which every entry in its set has promised to count this
 * one, and the set is known to contain every holder: because an entry that holds the part gave its
 * own set, or because the store's registrations were read after this entry's own was there. The
 * leased part then stays while the lease is fresh or all those promises are; the guaranteed part
 * stays until it is given up. An entry that is not registered yet holds either only while all
 * promises are fresh, one of them from a registered entry. For use on the control loop.
 */
final class ShareLedger {

  private final PeerTable table;
  private boolean guaranteedHeld;
  private boolean leasedAsRegistered;
  private boolean released;
  private long guaranteedUntilMillis = ShareTerms.NOT_HELD;
  private long leasedUntilMillis = ShareTerms.NOT_HELD;
  private long joinSinceMillis;

  ShareLedger(PeerTable table, long startMillis) {
    this.table = table;
    this.joinSinceMillis = startMillis;
  }

  /**
   * What this entry knows of its own standing in the store.
   *
   * @param registered whether the store is known to hold its registration
   * @param leaseUntilMillis until when its lease is held
   * @param registrationsReadMillis when the call was sent that last read all registrations, its own
   *     among them
   */
  record Standing(boolean registered, long leaseUntilMillis, long registrationsReadMillis) {}

  /** Gives up both parts for good. */
  void release() {
    released = true;
  }

  boolean released() {
    return released;
  }

  /** Returns since when a part has been missing; lists of holders from before do not count. */
  long joinSinceMillis() {
    return joinSinceMillis;
  }

  boolean holdsLeased(long nowMillis) {
    return !released && nowMillis < leasedUntilMillis;
  }

  boolean holdsGuaranteed(long nowMillis) {
    return !released && nowMillis < guaranteedUntilMillis;
  }

  /** Tells whether this entry still asks for a part that lasts. */
  boolean joining(long nowMillis) {
    return !released && (!guaranteedHeld || !holdsLeased(nowMillis) || !leasedAsRegistered);
  }

  /** Brings the decision up to date. */
  void evaluate(long nowMillis, Standing standing) {
    boolean readSinceJoin = standing.registrationsReadMillis() >= joinSinceMillis;
    evaluateGuaranteed(nowMillis, standing, readSinceJoin);
    evaluateLeased(nowMillis, standing, readSinceJoin);
  }

  private void evaluateGuaranteed(long nowMillis, Standing standing, boolean readSinceJoin) {
    if (guaranteedHeld) {
      return;
    }
    boolean complete = readSinceJoin || anyListOfGuaranteed(nowMillis);
    Collection<PeerRecord> all = table.records();
    if (!complete || !allPromise(all, nowMillis)) {
      return;
    }
    if (standing.registered() && allKnowRegistration(all)) {
      guaranteedHeld = true;
      guaranteedUntilMillis = ShareTerms.NO_END;
    } else if (hasRegisteredSponsor(nowMillis)) {
      guaranteedUntilMillis = earliestPromiseEnd(all);
    }
  }

  private void evaluateLeased(long nowMillis, Standing standing, boolean readSinceJoin) {
    if (nowMillis < leasedUntilMillis) {
      extendLeased(nowMillis, standing);
      return;
    }
    if (leasedUntilMillis != ShareTerms.NOT_HELD) {
      loseLeased(nowMillis);
      return;
    }
    if (!chooseLeasedSet(nowMillis, readSinceJoin)) {
      return;
    }
    List<PeerRecord> counted = table.leasedRecords();
    if (!allPromise(counted, nowMillis)) {
      return;
    }
    leasedAsRegistered = standing.registered() && allKnowRegistration(counted);
    extendLeased(nowMillis, standing);
  }

  private void loseLeased(long nowMillis) {
    leasedUntilMillis = ShareTerms.NOT_HELD;
    leasedAsRegistered = false;
    joinSinceMillis = nowMillis;
    table.records().forEach(record -> record.setLists(HolderLists.none()));
  }

  private void extendLeased(long nowMillis, Standing standing) {
    List<PeerRecord> counted = table.leasedRecords();
    if (!leasedAsRegistered) {
      leasedAsRegistered = standing.registered() && allKnowRegistration(counted);
    }
    if (leasedAsRegistered) {
      extendLeasedTo(standing.leaseUntilMillis());
      // An entry that counts no other has no promise to rest on.
      if (!counted.isEmpty()) {
        extendLeasedTo(earliestPromiseEnd(counted));
      }
    } else if (hasRegisteredSponsor(nowMillis)) {
      extendLeasedTo(earliestPromiseEnd(table.records()));
    }
  }

  private void extendLeasedTo(long untilMillis) {
    leasedUntilMillis = Math.max(leasedUntilMillis, untilMillis);
  }

  /** Settles on the entries to count, and tells whether they contain every holder. */
  private boolean chooseLeasedSet(long nowMillis, boolean readSinceJoin) {
    Optional<Set<String>> holders = listsOfLeased(nowMillis);
    if (holders.isEmpty()) {
      table.records().forEach(PeerRecord::countLeased);
      return readSinceJoin;
    }
    table.noteAll(holders.get(), nowMillis);
    for (PeerRecord record : table.records()) {
      if (holders.get().contains(record.id()) || nowMillis <= record.countedUntilMillis()) {
        record.countLeased();
      } else {
        record.dropLeased();
      }
    }
    return true;
  }

  private Optional<Set<String>> listsOfLeased(long nowMillis) {
    Set<String> union = new TreeSet<>();
    boolean found = false;
    for (PeerRecord record : table.records()) {
      HolderLists lists = record.lists();
      if (lists.isFresh(nowMillis) && lists.leased().isPresent()) {
        found = true;
        union.add(record.id());
        union.addAll(lists.leased().get());
      }
    }
    return found ? Optional.of(union) : Optional.empty();
  }

  private boolean anyListOfGuaranteed(long nowMillis) {
    return table.records().stream()
        .map(PeerRecord::lists)
        .anyMatch(lists -> lists.isFresh(nowMillis) && lists.guaranteed().isPresent());
  }

  private boolean hasRegisteredSponsor(long nowMillis) {
    return table.records().stream()
        .anyMatch(
            record ->
                record.registered() == Registered.YES && record.promisedUntilMillis() > nowMillis);
  }

  private static boolean allPromise(Collection<PeerRecord> records, long nowMillis) {
    return records.stream().allMatch(record -> record.promisedUntilMillis() > nowMillis);
  }

  private static boolean allKnowRegistration(Collection<PeerRecord> records) {
    return records.stream().allMatch(PeerRecord::knowsRegistration);
  }

  private static long earliestPromiseEnd(Collection<PeerRecord> records) {
    return records.stream()
        .mapToLong(PeerRecord::countsSelfUntilMillis)
        .min()
        .orElse(ShareTerms.NOT_HELD);
  }

  ShareTerms terms(CountedSets sets) {
    if (released) {
      return new ShareTerms(sets, ShareTerms.NOT_HELD, ShareTerms.NOT_HELD);
    }
    return new ShareTerms(sets, guaranteedUntilMillis, leasedUntilMillis);
  }
}
