package org.wagtailpin.membership;

import java.util.function.IntSupplier;

/**
 * Splits each limit evenly over the entries known to be live. A share in whole units is at least 1.
 *
 * <p>For limits that are far above demand and may be exceeded for a short time, such as connection
 * limits, since entries do not agree on the split. Thread-safe.
 */
public final class EqualShares implements LimitShares {

  private final IntSupplier entryCount;

  /**
   * Creates shares that follow the number of live entries.
   *
   * @param entryCount returns the number of live entries, this one included; called for each share,
   *     on any thread
   */
  public EqualShares(IntSupplier entryCount) {
    this.entryCount = entryCount;
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
    return Math.max(1, entryCount.getAsInt());
  }
}
