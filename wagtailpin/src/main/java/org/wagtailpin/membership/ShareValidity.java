package org.wagtailpin.membership;

/**
 * Until when this entry holds its shares, in milliseconds of its monotonic clock.
 *
 * @param sets the sets over which the limits are split
 * @param guaranteedUntilMillis when the guaranteed part ends
 * @param leasedUntilMillis when the leased part ends
 */
record ShareValidity(CountedSets sets, long guaranteedUntilMillis, long leasedUntilMillis) {

  /** End of a part that is not held. */
  static final long NOT_HELD = Long.MIN_VALUE;

  /** End of a part that is held until it is released. */
  static final long NO_END = Long.MAX_VALUE;

  boolean holdsGuaranteed(long nowMillis) {
    return nowMillis < guaranteedUntilMillis;
  }

  boolean holdsLeased(long nowMillis) {
    return nowMillis < leasedUntilMillis;
  }
}
