package org.wagtailpin.membership;

/**
 * This entry's share of limits that all entries keep together.
 *
 * <p>At any moment the shares of all entries add up to no more than the limit. Safe for all
 * threads; a share may shrink at any time, and its holder gives back what is over.
 */
public interface LimitShares {

  /**
   * Returns the share of a limit that is counted in whole units, such as connections.
   *
   * @param limitName the name of the limit; entries spread remainders of different limits over
   *     different entries
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
