package org.wagtailpin.membership;

import java.util.function.Predicate;

/**
 * Decides which entries are no longer counted.
 *
 * <p>No single source removes an entry. Silence is needed in each case: this entry keeps what it
 * promised. On top of that the leased part needs the store to hold no lease key after the promise
 * ended; the guaranteed part needs the store to hold no registration, or the host list to tell that
 * the host is gone.
 */
final class RemovalRules {

  private final PeerTable table;
  private final MembershipSettings settings;
  private final Predicate<PeerRecord> hostGone;

  RemovalRules(PeerTable table, MembershipSettings settings, Predicate<PeerRecord> hostGone) {
    this.table = table;
    this.settings = settings;
    this.hostGone = hostGone;
  }

  /**
   * Applies the rules to all entries.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @param holdsLeased whether this entry holds its leased part, so that no other entry can hold
   *     one without a lease of its own or this entry's promise
   */
  void apply(long nowMillis, boolean holdsLeased) {
    for (PeerRecord record : table.records()) {
      if (nowMillis > record.countedUntilMillis()) {
        applyToSilent(record, nowMillis, holdsLeased);
      }
    }
  }

  private void applyToSilent(PeerRecord record, long nowMillis, boolean holdsLeased) {
    boolean holdsNoShares = isUnregistered(record) || isNoLongerNamed(record, nowMillis);
    if (holdsNoShares || isGone(record, nowMillis)) {
      table.remove(record.id());
    } else if (holdsLeased && leaseLapsed(record)) {
      record.removeFromLeasedSet();
    }
  }

  /** Tells whether the entry can hold nothing without this entry's promise. */
  private static boolean isUnregistered(PeerRecord record) {
    if (record.registered() == RegistrationState.NOT_REGISTERED) {
      return true;
    }
    return record.registered() == RegistrationState.REGISTERED
        && record.registrationAbsentAtMillis() > record.countedUntilMillis();
  }

  /** Tells whether the entry was named by others only, and is named no more. */
  private boolean isNoLongerNamed(PeerRecord record, long nowMillis) {
    return record.registered() == RegistrationState.UNKNOWN
        && nowMillis > record.lastNamedMillis() + table.countedForMillis();
  }

  private static boolean leaseLapsed(PeerRecord record) {
    return record.leaseAbsentAtMillis() > record.countedUntilMillis();
  }

  private boolean isGone(PeerRecord record, long nowMillis) {
    return hostGone.test(record)
        && leaseLapsed(record)
        && !record.heardWithin(nowMillis, settings.goneTimeoutMillis());
  }
}
