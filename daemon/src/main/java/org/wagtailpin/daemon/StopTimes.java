package org.wagtailpin.daemon;

/**
 * How the time between the signal to stop and the end of the process is spent.
 *
 * @param noticeMillis how long the entry still accepts calls after it has reported that it is not
 *     ready, in milliseconds
 * @param graceMillis how long calls in flight may continue after that, in milliseconds
 */
public record StopTimes(long noticeMillis, long graceMillis) {

  /** Shortest time to stop within, in milliseconds. */
  public static final long MIN_STOP_MILLIS = 1_000;

  /** A balancer that checks readiness each second needs two failed checks to notice. */
  private static final long FULL_NOTICE_MILLIS = 2_500;

  private static final double MAX_NOTICE_SHARE = 0.45;

  /** Left for leaving the fleet, closing connections and ending the process. */
  private static final long MAX_RESERVE_MILLIS = 800;

  private static final double MAX_RESERVE_SHARE = 0.15;

  /**
   * Splits the time within which the process must have ended.
   *
   * @param stopMillis the time from the signal until the process would be killed, in milliseconds,
   *     at least {@link #MIN_STOP_MILLIS}
   */
  public static StopTimes within(long stopMillis) {
    long reserveMillis = Math.min(MAX_RESERVE_MILLIS, (long) (stopMillis * MAX_RESERVE_SHARE));
    long noticeMillis = Math.min(FULL_NOTICE_MILLIS, (long) (stopMillis * MAX_NOTICE_SHARE));
    return new StopTimes(noticeMillis, stopMillis - noticeMillis - reserveMillis);
  }
}
