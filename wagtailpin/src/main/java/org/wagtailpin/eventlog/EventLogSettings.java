package org.wagtailpin.eventlog;

/**
 * Bounds of an event log.
 *
 * @param maxQueuedLines lines of either class that wait for the output before more are dropped
 * @param linesPerSecond lines of successful requests above which they are sampled
 * @param failureLinesPerSecond lines of failed requests above which these are sampled
 * @param gatherMillis how long lines are gathered before they are written together
 */
public record EventLogSettings(
    int maxQueuedLines, int linesPerSecond, int failureLinesPerSecond, long gatherMillis) {

  // Enough for one busy second; a line has about 250 bytes.
  private static final int DEFAULT_MAX_QUEUED_LINES = 8_192;

  // At 100 microseconds a line this is 1% of a core.
  private static final int DEFAULT_LINES_PER_SECOND = 100;
  private static final int DEFAULT_FAILURE_LINES_PER_SECOND = 400;

  // A wake-up costs more than a line; readers of logs wait longer than this.
  private static final long DEFAULT_GATHER_MILLIS = 100;

  /** Returns these bounds with another number of waiting lines. */
  public EventLogSettings withMaxQueuedLines(int newMaxQueuedLines) {
    return new EventLogSettings(
        newMaxQueuedLines, linesPerSecond, failureLinesPerSecond, gatherMillis);
  }

  /** Returns the bounds in force where none are stated. */
  public static EventLogSettings defaults() {
    return new EventLogSettings(
        DEFAULT_MAX_QUEUED_LINES,
        DEFAULT_LINES_PER_SECOND,
        DEFAULT_FAILURE_LINES_PER_SECOND,
        DEFAULT_GATHER_MILLIS);
  }
}
