package org.wagtailpin.membership;

/**
 * Shares of limits that are split evenly over the entries known to be live.
 *
 * <p>For limits that are far above what is needed and bear being exceeded for a moment, such as
 * connections; it needs no agreement. Safe for all threads.
 */
public final class EqualShares implements LimitShares {

  private final MembershipSource membership;

  /**
   * Creates shares.
   *
   * @param membership tells the live entries
   */
  public EqualShares(MembershipSource membership) {
    this.membership = membership;
  }

  @Override
  public int integerShare(String limitName, int limit) {
    return Math.max(1, limit / entryCount());
  }

  @Override
  public double share(double limit) {
    return limit / entryCount();
  }

  private int entryCount() {
    return Math.max(1, membership.current().members().size());
  }
}
