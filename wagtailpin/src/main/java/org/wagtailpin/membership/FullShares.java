package org.wagtailpin.membership;

/** Shares of an entry that is alone: the whole of each limit. */
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
