package org.wagtailpin.membership;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The sets that one entry cuts its shares over, with its ranks. Safe for all threads.
 *
 * <p>The guaranteed part ranks from the first and the leased part from the last, so that an entry
 * that gets a remainder of one part is the last to get one of the other.
 */
final class CountedSets {

  private record Ranks(int guaranteed, int leased) {}

  private final String self;
  private final Set<String> guaranteed;
  private final Set<String> leased;
  private final Map<String, Ranks> ranks = new ConcurrentHashMap<>();

  /**
   * Creates the sets.
   *
   * @param self this entry, in both sets
   * @param guaranteed the entries that the guaranteed part is split over
   * @param leased the entries that the leased part is split over
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
