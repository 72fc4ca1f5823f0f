package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The retries that a service has earned: each first attempt earns a share of one. Safe for all
 * threads and without locks.
 */
public final class RetryBudget {

  private static final long UNITS_PER_ATTEMPT = 1_000_000L;

  private final AtomicLong units = new AtomicLong();

  /**
   * Earns a share of a retry.
   *
   * @param share the share, 0 to 1
   * @param most how many retries are saved up at most, at least 0
   */
  public void earn(double share, double most) {
    long step = (long) (share * UNITS_PER_ATTEMPT);
    long ceiling = (long) (most * UNITS_PER_ATTEMPT);
    units.updateAndGet(saved -> Math.min(ceiling, saved + step));
  }

  /** Spends one retry, if one is saved up; tells whether it did. */
  public boolean spend() {
    while (true) {
      long saved = units.get();
      if (saved < UNITS_PER_ATTEMPT) {
        return false;
      }
      if (units.compareAndSet(saved, saved - UNITS_PER_ATTEMPT)) {
        return true;
      }
    }
  }
}
