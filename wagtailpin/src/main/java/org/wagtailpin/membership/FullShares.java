package org.wagtailpin.membership;

/** Shares of an entry that runs alone: the full limit in each case. */
public final class FullShares implements LimitShares {

  @Override
  public int integerShare(String limitName, int limit) {
    return limit;
  }

  @Override
  public double share(double limit) {
    return limit;
  }
}
