package org.wagtailpin.membership;

/**
 * This entry's shares of limits that apply to the whole fleet.
 *
 * <p>At any time the shares of all entries add up to at most the limit. A share may shrink at any
 * time; its holder then releases what exceeds it. Thread-safe.
 */
public interface LimitShares {

  /**
   * Returns the share of a limit that is counted in whole units, such as connections.
   *
   * @param limitName the name of the limit; the units that remain after an even split go to
   *     different entries for different limits
   * @param limit the limit over all entries, at least 0
   * @return this entry's share, 0 to limit
   */
  int integerShare(String limitName, int limit);

  /**
   * Returns the share of a limit that can be divided, such as a rate.
   *
   * @param limit the limit over all entries, at least 0
   * @return this entry's share, 0 to limit
   */
  double share(double limit);
}
