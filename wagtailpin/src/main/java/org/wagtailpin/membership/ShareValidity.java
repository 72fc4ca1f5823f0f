package org.wagtailpin.membership;

/**
 * What this entry may use, and until when by its own monotonic clock.
 *
 * @param sets the sets that the shares are cut over
 * @param guaranteedUntilMillis when the guaranteed part ends, in milliseconds
 * @param leasedUntilMillis when the leased part ends, in milliseconds
 */
record ShareValidity(CountedSets sets, long guaranteedUntilMillis, long leasedUntilMillis) {

  /** End of a part that is not held. */
  static final long NOT_HELD = Long.MIN_VALUE;

  /** End of a part that is held until it is given up. */
  static final long NO_END = Long.MAX_VALUE;

  boolean holdsGuaranteed(long nowMillis) {
    return nowMillis < guaranteedUntilMillis;
  }

  boolean holdsLeased(long nowMillis) {
    return nowMillis < leasedUntilMillis;
  }
}
