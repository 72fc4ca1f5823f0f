package org.wagtailpin.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;

/**
 * Splits a limit over a set of entries.
 *
 * <p>An entry never gets more when the set grows. So the entries of any set {@code H} together get
 * at most the limit if each of them splits it over a set that contains {@code H}, even if those
 * sets differ: each gets at most what a split over {@code H} itself gives it.
 */
final class LimitSplit {

  private LimitSplit() {}

  /**
   * Returns the units of one entry: the quotient, plus one for the ranks below the remainder.
   *
   * @param units the units to split, at least 0
   * @param count the number of entries in the set, at least 1
   * @param rank the entry's rank in the set, 0 to count - 1
   */
  static int unitsOfRank(int units, int count, int rank) {
    int quotient = units / count;
    return rank < units % count ? quotient + 1 : quotient;
  }

  /**
   * Returns the part of a limit that is split over all registered entries, rounded down.
   *
   * @param limit the limit, at least 0
   * @param fraction the guaranteed fraction, 0 to 1
   */
  static int guaranteedUnits(int limit, double fraction) {
    return (int) Math.floor(limit * fraction);
  }

  /**
   * Returns the number of entries that precede an entry in the order of a limit. The order is by
   * hash and differs between limits, so that remainders go to different entries.
   *
   * @param limitName the name of the limit
   * @param entry the entry, in the set or not
   * @param set the entries to rank it among
   */
  static int ascendingRank(String limitName, String entry, Collection<String> set) {
    long ownHash = orderHash(limitName, entry);
    int before = 0;
    for (String other : set) {
      long otherHash = orderHash(limitName, other);
      if (otherHash < ownHash || (otherHash == ownHash && other.compareTo(entry) < 0)) {
        before++;
      }
    }
    return before;
  }

  /**
   * Returns the number of entries that follow an entry in the order of a limit.
   *
   * @param limitName the name of the limit
   * @param entry the entry, in the set or not
   * @param set the entries to rank it among
   */
  static int descendingRank(String limitName, String entry, Collection<String> set) {
    int others = set.contains(entry) ? set.size() - 1 : set.size();
    return others - ascendingRank(limitName, entry, set);
  }

  private static long orderHash(String limitName, String entry) {
    return Hashing.komihash5_0().hashStream().putString(limitName).putString(entry).getAsLong();
  }
}
