package org.wagtailpin.membership;

/** Shares of an entry that is alone: the whole of each limit. */
public final class WholeLimits implements LimitShares {

  @Override
  public int wholeShare(String limitName, int limit) {
    return limit;
  }

  @Override
  public double share(double limit) {
    return limit;
  }
}
