package org.wagtailpin.eventlog;

/**
 * Bounds of an event log.
 *
 * @param waitingLines lines of either class that wait for the output before more are dropped
 * @param linesPerSecond lines of successful requests above which they are sampled
 * @param failureLinesPerSecond lines of failed requests above which these are sampled
 * @param gatherMillis how long lines are gathered before they are written together
 */
public record EventLogSettings(
    int waitingLines, int linesPerSecond, int failureLinesPerSecond, long gatherMillis) {

  // Enough for one busy second; a line has about 250 bytes.
  private static final int WAITING_LINES = 8_192;

  // At 100 microseconds a line this is 1% of a core.
  private static final int LINES_PER_SECOND = 100;
  private static final int FAILURE_LINES_PER_SECOND = 400;

  // A wake-up costs more than a line; readers of logs wait longer than this.
  private static final long GATHER_MILLIS = 100;

  /** Returns these bounds with another number of waiting lines. */
  public EventLogSettings withWaitingLines(int lines) {
    return new EventLogSettings(lines, linesPerSecond, failureLinesPerSecond, gatherMillis);
  }

  /** Returns the bounds in force where none are stated. */
  public static EventLogSettings defaults() {
    return new EventLogSettings(
        WAITING_LINES, LINES_PER_SECOND, FAILURE_LINES_PER_SECOND, GATHER_MILLIS);
  }
}
