package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The retries that a service has saved up: each first attempt adds a fraction of one. Safe for all
 * threads, without locks.
 */
public final class RetryBudget {

  private static final long UNITS_PER_RETRY = 1_000_000L;

  private final AtomicLong units = new AtomicLong();

  /**
   * Adds a fraction of a retry.
   *
   * @param share the fraction, 0 to 1
   * @param maxRetries the maximum number of retries saved up, at least 0
   */
  public void earn(double share, double maxRetries) {
    long earnedUnits = (long) (share * UNITS_PER_RETRY);
    long maxUnits = (long) (maxRetries * UNITS_PER_RETRY);
    units.updateAndGet(saved -> Math.min(maxUnits, saved + earnedUnits));
  }

  /** Spends one retry; returns false if less than one is saved up. */
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
