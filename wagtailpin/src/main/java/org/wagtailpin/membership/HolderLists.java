package org.wagtailpin.membership;

import java.util.Optional;
import java.util.Set;

/**
 * The sets of entries that another entry counts, as received from it.
 *
 * @param leased contains every holder of a leased part; empty if the other entry did not hold one
 * @param guaranteed contains every holder of a guaranteed part; empty if the other entry did not
 *     hold one
 * @param untilMillis when the promise to count this entry ends that came with the lists, in
 *     milliseconds of the monotonic clock
 */
record HolderLists(
    Optional<Set<String>> leased, Optional<Set<String>> guaranteed, long untilMillis) {

  static HolderLists none() {
    return new HolderLists(Optional.empty(), Optional.empty(), Long.MIN_VALUE);
  }

  boolean isFresh(long nowMillis) {
    return nowMillis < untilMillis;
  }
}
