package org.wagtailpin.membership;

import java.util.Optional;
import java.util.Set;

/**
 * The sets that another entry counts, as it gave them to this one.
 *
 * @param leased a set with every holder of a leased part, if the other entry held one
 * @param guaranteed a set with every holder of a guaranteed part, if the other entry held one
 * @param untilMillis until when the other entry goes on counting this one after it gave the lists,
 *     by the monotonic clock in milliseconds
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
