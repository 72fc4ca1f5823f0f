package org.wagtailpin.membership;

/**
 * Shares of limits that are split evenly over the entries known to be live.
 *
 * <p>For limits that are far above what is needed and bear being exceeded for a moment, such as
 * connections; it needs no agreement. Safe for all threads.
 */
public final class EqualShares implements LimitShares {

  private final MembershipSource members;

  /**
   * Creates shares.
   *
   * @param members tells the live entries
   */
  public EqualShares(MembershipSource members) {
    this.members = members;
  }

  @Override
  public int wholeShare(String limitName, int limit) {
    return Math.max(1, limit / entries());
  }

  @Override
  public double share(double limit) {
    return limit / entries();
  }

  private int entries() {
    return Math.max(1, members.current().members().size());
  }
}
