package org.wagtailpin.hostlist;

/**
 * Timing of the reads of the host list.
 *
 * @param pollMillis the interval between reads, in milliseconds, at least 1
 * @param maxBackoffMillis the maximum interval between reads while they fail, in milliseconds
 * @param absentMillis how long a host must be absent from the list until it counts as gone, in
 *     milliseconds; longer than the list can lag
 */
public record HostListSettings(long pollMillis, long maxBackoffMillis, long absentMillis) {

  private static final long POLL_MILLIS = 2000;
  private static final long MAX_BACKOFF_MILLIS = 16_000;
  private static final long ABSENT_MILLIS = 60_000;

  /** Returns the default settings: reads every 2 s, backoff up to 16 s, gone after 60 s. */
  public static HostListSettings defaults() {
    return new HostListSettings(POLL_MILLIS, MAX_BACKOFF_MILLIS, ABSENT_MILLIS);
  }
}
