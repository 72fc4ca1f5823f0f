package org.wagtailpin.membership;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The sets of entries over which this entry splits the two parts of each limit, and its ranks in
 * them. Thread-safe.
 *
 * <p>Units that remain after an even split go to the lowest ranks. The ranks of the leased part run
 * opposite to those of the guaranteed part, so that an entry that gets a remainder of one part is
 * the last to get one of the other.
 */
final class CountedSets {

  private record Ranks(int guaranteed, int leased) {}

  private final String self;
  private final Set<String> guaranteed;
  private final Set<String> leased;
  private final Map<String, Ranks> ranks = new ConcurrentHashMap<>();

  /**
   * Copies the sets.
   *
   * @param self the identifier of this entry, contained in both sets
   * @param guaranteed the entries over which the guaranteed part is split
   * @param leased the entries over which the leased part is split
   */
  CountedSets(String self, Set<String> guaranteed, Set<String> leased) {
    this.self = self;
    this.guaranteed = Set.copyOf(guaranteed);
    this.leased = Set.copyOf(leased);
  }

  Set<String> guaranteed() {
    return guaranteed;
  }

  Set<String> leased() {
    return leased;
  }

  int guaranteedShare(String limitName, int units) {
    return LimitSplit.unitsOfRank(units, guaranteed.size(), ranks(limitName).guaranteed());
  }

  int leasedShare(String limitName, int units) {
    return LimitSplit.unitsOfRank(units, leased.size(), ranks(limitName).leased());
  }

  private Ranks ranks(String limitName) {
    return ranks.computeIfAbsent(
        limitName,
        limit ->
            new Ranks(
                LimitSplit.ascendingRank(limit, self, guaranteed),
                LimitSplit.descendingRank(limit, self, leased)));
  }
}
