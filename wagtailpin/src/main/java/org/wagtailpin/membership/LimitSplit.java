package org.wagtailpin.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;

/**
 * Cuts a limit over a set of entries.
 *
 * <p>The cut never gives an entry more when the set grows. So the entries of any set {@code H} get
 * no more than the whole together, as long as each of them cuts over a set that contains {@code H},
 * even if those sets differ: each gets at most what the cut over {@code H} itself gives it.
 */
final class LimitSplit {

  private LimitSplit() {}

  /**
   * Returns the units of one entry: the quotient, and one more for the first ranks.
   *
   * @param units the units to cut, at least 0
   * @param count how many entries are in the set, at least 1
   * @param rank the entry's rank in the set, 0 to count - 1
   */
  static int unitsOfRank(int units, int count, int rank) {
    int quotient = units / count;
    return rank < units % count ? quotient + 1 : quotient;
  }

  /**
   * Returns the part of a limit that goes to all registered entries.
   *
   * @param limit the limit, at least 0
   * @param fraction the guaranteed fraction, 0 to 1
   */
  static int guaranteedUnits(int limit, double fraction) {
    return (int) Math.floor(limit * fraction);
  }

  /**
   * Counts the entries that come before one in the order of a limit. The order differs from limit
   * to limit, so that remainders fall to different entries.
   *
   * @param limitName the name of the limit
   * @param entry the entry
   * @param set the entries to rank among
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
   * Counts the entries that come after one in the order of a limit.
   *
   * @param limitName the name of the limit
   * @param entry the entry
   * @param set the entries to rank among
   */
  static int descendingRank(String limitName, String entry, Collection<String> set) {
    int others = set.contains(entry) ? set.size() - 1 : set.size();
    return others - ascendingRank(limitName, entry, set);
  }

  private static long orderHash(String limitName, String entry) {
    return Hashing.komihash5_0().hashStream().putString(limitName).putString(entry).getAsLong();
  }
}
