package org.wagtailpin.membership;

/**
 * Splits each limit evenly over the entries known to be live. A share in whole units is at least 1.
 *
 * <p>For limits that are far above demand and may be exceeded for a short time, such as connection
 * limits, since entries do not agree on the split. Thread-safe.
 */
public final class EqualShares implements LimitShares {

  private final MembershipSource membership;

  /**
   * Creates shares that follow the newest view of the live entries.
   *
   * @param membership source of the live entries, read on each call
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
