package org.wagtailpin.membership;

import java.util.function.Predicate;

/**
 * Decides which entries are no longer counted.
 *
 * <p>No single source is enough to remove an entry. In each case the entry must have been silent
 * until this entry's promise to count it ended. In addition, removal from the leased set requires
 * that the store held no lease key of the entry after that; removal from the guaranteed set
 * requires that the store held no registration, or that the host list reports the host as gone.
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
   * @param holdsLeased whether this entry holds its leased part; while it does, another entry can
   *     hold one only with a lease of its own or with this entry's promise
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

  /** Returns whether the entry cannot hold any share without this entry's promise. */
  private static boolean isUnregistered(PeerRecord record) {
    if (record.registered() == RegistrationState.NOT_REGISTERED) {
      return true;
    }
    return record.registered() == RegistrationState.REGISTERED
        && record.registrationAbsentAtMillis() > record.countedUntilMillis();
  }

  /** Returns whether the entry was only named by others, and no longer is. */
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
