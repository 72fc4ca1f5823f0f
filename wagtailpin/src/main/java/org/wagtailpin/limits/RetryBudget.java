package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The retries that a service has earned: each first attempt earns a share of one. Safe for all
 * threads and without locks.
 */
public final class RetryBudget {

  private static final long UNITS_PER_RETRY = 1_000_000L;

  private final AtomicLong units = new AtomicLong();

  /**
   * Earns a share of a retry.
   *
   * @param share the share, 0 to 1
   * @param maxRetries how many retries are saved up at most, at least 0
   */
  public void earn(double share, double maxRetries) {
    long earnedUnits = (long) (share * UNITS_PER_RETRY);
    long maxUnits = (long) (maxRetries * UNITS_PER_RETRY);
    units.updateAndGet(saved -> Math.min(maxUnits, saved + earnedUnits));
  }

  /** Spends one retry, if one is saved up; tells whether it did. */
  public boolean spend() {
    while (true) {
      long saved = units.get();
      if (saved < UNITS_PER_RETRY) {
        return false;
      }
      if (units.compareAndSet(saved, saved - UNITS_PER_RETRY)) {
        return true;
      }
    }
  }
}
