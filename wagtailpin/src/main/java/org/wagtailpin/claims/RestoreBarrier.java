package org.wagtailpin.claims;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.store.StoreRevision;

/**
 * Refuses claims for a whole window after the store was restored from an older copy, since claims
 * that were granted before may be missing from it.
 *
 * <p>An entry that sees the store for the first time after a restore does not know of it. Confined
 * to the control loop.
 */
final class RestoreBarrier {

  private static final long UNKNOWN = -1;

  private final Clock clock;
  private final long windowMillis;
  private long latestEra = UNKNOWN;
  private long closedUntilMillis = Long.MIN_VALUE;

  RestoreBarrier(Clock clock, long windowMillis) {
    this.clock = clock;
    this.windowMillis = windowMillis;
  }

  /**
   * Records a number of the store, see {@link StoreRevision}.
   *
   * @return whether claims may be granted now
   */
  boolean mayGrantAfter(long number) {
    long era = StoreRevision.era(number);
    if (era > latestEra) {
      if (latestEra != UNKNOWN) {
        closedUntilMillis = clock.millis() + windowMillis;
      }
      latestEra = era;
    }
    return clock.millis() >= closedUntilMillis;
  }
}
