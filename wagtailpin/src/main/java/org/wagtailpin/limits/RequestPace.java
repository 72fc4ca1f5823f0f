package org.wagtailpin.limits;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Paces one entry's requests to a server that has named a limit: one request in each period, which
 * is the inverse of this entry's share of the limit.
 *
 * <p>For limits that are small against the number of entries, of which each has a fraction of a
 * request a second. A token bucket of each entry would fill up while a server is not used, and all
 * entries together could then send as many requests at once as there are entries. Here a request
 * that is not sent within {@value #VALID_MILLIS} ms of the beginning of its period is forfeited,
 * and periods begin at a random time, so that those of different entries are spread. Safe for all
 * threads, without locks.
 */
public final class RequestPace {

  /** How long a request of a period may be sent from the beginning of the period on. */
  public static final long VALID_MILLIS = 500;

  private static final double MILLIS_PER_SECOND = 1000;

  /** The periods that have begun, with the fraction of the current one, and the last one used. */
  private record Periods(double begun, double atMillis, double lastUsed) {

    Periods advance(double nowMillis, double perMilli) {
      double elapsedMillis = Math.max(0, nowMillis - atMillis);
      return new Periods(begun + elapsedMillis * perMilli, nowMillis, lastUsed);
    }

    boolean open(double perMilli) {
      double current = Math.floor(begun);
      return current > lastUsed && begun - current <= VALID_MILLIS * perMilli;
    }

    Periods use() {
      return new Periods(begun, atMillis, Math.floor(begun));
    }
  }

  private final AtomicReference<Periods> periods;

  /**
   * Creates a pace whose first period has not begun yet.
   *
   * @param nowMillis the current time
   * @param phase how much of the time to the first period has passed, 0 to less than 1
   */
  public RequestPace(double nowMillis, double phase) {
    this.periods = new AtomicReference<>(new Periods(phase, nowMillis, 0));
  }

  /**
   * Returns whether a request may be sent now.
   *
   * @param nowMillis the current time
   * @param perSecond this entry's share of the limit, in requests per second, at least 0
   */
  public boolean isOpen(double nowMillis, double perSecond) {
    double perMilli = perSecond / MILLIS_PER_SECOND;
    return periods.get().advance(nowMillis, perMilli).open(perMilli);
  }

  /**
   * Uses the request of the current period, if it may be sent now.
   *
   * @param nowMillis the current time
   * @param perSecond this entry's share of the limit, in requests per second, at least 0
   * @return whether the request may be sent
   */
  public boolean tryUse(double nowMillis, double perSecond) {
    double perMilli = perSecond / MILLIS_PER_SECOND;
    while (true) {
      Periods before = periods.get();
      Periods now = before.advance(nowMillis, perMilli);
      if (!now.open(perMilli)) {
        return false;
      }
      if (periods.compareAndSet(before, now.use())) {
        return true;
      }
    }
  }

  /**
   * Returns the time until a request may be sent, in milliseconds, 0 if one may be sent now,
   * infinite if the share is 0.
   *
   * @param nowMillis the current time
   * @param perSecond this entry's share of the limit, in requests per second, at least 0
   */
  public double millisToNext(double nowMillis, double perSecond) {
    double perMilli = perSecond / MILLIS_PER_SECOND;
    Periods now = periods.get().advance(nowMillis, perMilli);
    if (now.open(perMilli)) {
      return 0;
    }
    return (Math.floor(now.begun()) + 1 - now.begun()) / perMilli;
  }
}
