package org.wagtailpin.registry;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.store.StoreRevision;

/**
 * Detects that the store was restored from an older copy, and measures the time within which
 * servers may register again after that. Runs on the control loop only.
 */
final class StoreEraTracker {

  private final Clock clock;
  private final EventLog events;
  private long latest;
  private long firstListMillis = Long.MIN_VALUE / 2;

  StoreEraTracker(Clock clock, EventLog events) {
    this.clock = clock;
    this.events = events;
  }

  /**
   * Records a list of the store.
   *
   * @param known the highest number that this entry knew, 0 if none
   * @param number the number of the list
   * @return whether it is the first list of its era that this entry has read. That of era 0 does
   *     not count, since no copy precedes it
   */
  boolean listed(long known, long number) {
    long before = Math.max(latest, known);
    boolean first = StoreRevision.era(number) > StoreRevision.era(latest);
    latest = Math.max(latest, number);
    if (first) {
      firstListMillis = clock.millis();
    }
    if (first && before > 0 && StoreRevision.era(before) < StoreRevision.era(number)) {
      events.recordEvent(
          Event.of(EventKind.STORE_ERA_CHANGED)
              .with("eraBefore", StoreRevision.era(before))
              .with("revisionBefore", StoreRevision.bare(before))
              .with("era", StoreRevision.era(number))
              .with("revision", StoreRevision.bare(number))
              .with("graceMillis", graceMillis()));
    }
    return first;
  }

  /** Returns how much longer servers may register again, in milliseconds, 0 after that. */
  long graceMillis() {
    return Math.max(
        0, firstListMillis + StoreAvailability.REREGISTRATION_GRACE_MILLIS - clock.millis());
  }
}
