package org.wagtailpin.registry;

import org.wagtailpin.clock.Clock;
import org.wagtailpin.error.Fault;
import org.wagtailpin.eventlog.Event;
import org.wagtailpin.eventlog.EventKind;
import org.wagtailpin.eventlog.EventLog;

/**
 * Whether the store answers, and for how long the removal of servers is held back after an outage.
 *
 * <p>The registration of a server may lapse in an outage only because the server could not renew
 * it. An interruption that is too short for that holds no removal back. Runs on the control loop
 * only.
 */
final class StoreAvailability {

  /**
   * Time after an outage within which servers may register again, in milliseconds. The platform
   * states about two seconds.
   */
  static final long REREGISTRATION_GRACE_MILLIS = 2_200;

  /**
   * Number of renewal intervals without the store from which on a registration may lapse. It lapses
   * after three without a renewal, of which one may precede the outage.
   */
  private static final int MIN_LAPSE_INTERVALS = 2;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Clock clock;
  private final long minLapseMillis;
  private final EventLog events;
  private boolean unreachable;
  private long lastContactMillis;
  private long regainedMillis = NEVER;

  /**
   * Creates the state of a store that is taken to answer.
   *
   * @param clock measures outages
   * @param renewalMillis the interval at which servers renew their registrations, in milliseconds
   * @param events receives an event for each loss and return of the store
   */
  StoreAvailability(Clock clock, long renewalMillis, EventLog events) {
    this.clock = clock;
    this.minLapseMillis = MIN_LAPSE_INTERVALS * renewalMillis;
    this.events = events;
    this.lastContactMillis = clock.millis();
  }

  /** Returns whether the store is taken to answer. */
  boolean reachable() {
    return !unreachable;
  }

  /** Records the failure of a call. */
  void lost(Fault fault) {
    lost(fault.toString());
  }

  /**
   * Records that the store does not answer.
   *
   * @param detail how that was noticed
   */
  void lost(String detail) {
    if (!unreachable) {
      unreachable = true;
      events.recordEvent(
          Event.of(EventKind.STORE_LOST)
              .with("detail", detail)
              .with("silentMillis", sinceContactMillis()));
    }
  }

  /** Records an answer that holds no keys, so that it does not end an outage. */
  void tested() {
    if (!unreachable) {
      lastContactMillis = clock.millis();
    }
  }

  /** Records an answer, which ends an outage. */
  void answered() {
    long now = clock.millis();
    if (unreachable) {
      unreachable = false;
      long awayMillis = sinceContactMillis();
      boolean mayHaveLapsed = awayMillis >= minLapseMillis;
      if (mayHaveLapsed) {
        regainedMillis = now;
      }
      events.recordEvent(
          Event.of(EventKind.STORE_REGAINED)
              .with("awayMillis", awayMillis)
              .with("graceMillis", mayHaveLapsed ? REREGISTRATION_GRACE_MILLIS : 0));
    }
    lastContactMillis = now;
  }

  /** Returns how much longer servers may register again, in milliseconds, 0 after that. */
  long graceMillis() {
    return Math.max(0, regainedMillis + REREGISTRATION_GRACE_MILLIS - clock.millis());
  }

  /** Returns the time since the store last answered or, before that, since this was created. */
  private long sinceContactMillis() {
    return clock.millis() - lastContactMillis;
  }
}
