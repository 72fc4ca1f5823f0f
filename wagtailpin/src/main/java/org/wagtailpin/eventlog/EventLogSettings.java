package org.wagtailpin.eventlog;

/**
 * Queue size, sampling rates and batching delay of an event log.
 *
 * @param maxQueuedLines the capacity of each of the two queues, in lines; lines beyond it are
 *     dropped
 * @param linesPerSecond the rate of lines above which successful requests are sampled
 * @param failureLinesPerSecond the rate of lines above which failed requests are sampled
 * @param gatherMillis how long lines are collected before they are written in a batch, in
 *     milliseconds
 */
public record EventLogSettings(
    int maxQueuedLines, int linesPerSecond, int failureLinesPerSecond, long gatherMillis) {

  // Enough for one second of high load; a line has about 250 bytes.
  private static final int DEFAULT_MAX_QUEUED_LINES = 8_192;

  // At 100 microseconds per line, this takes 1% of a core.
  private static final int DEFAULT_LINES_PER_SECOND = 100;
  private static final int DEFAULT_FAILURE_LINES_PER_SECOND = 400;

  // Waking the writer thread costs more than writing a line, and log readers tolerate this delay.
  private static final long DEFAULT_GATHER_MILLIS = 100;

  /** Returns a copy of these settings with another queue capacity, in lines. */
  public EventLogSettings withMaxQueuedLines(int newMaxQueuedLines) {
    return new EventLogSettings(
        newMaxQueuedLines, linesPerSecond, failureLinesPerSecond, gatherMillis);
  }

  /** Returns the settings used if none are configured. */
  public static EventLogSettings defaults() {
    return new EventLogSettings(
        DEFAULT_MAX_QUEUED_LINES,
        DEFAULT_LINES_PER_SECOND,
        DEFAULT_FAILURE_LINES_PER_SECOND,
        DEFAULT_GATHER_MILLIS);
  }
}
