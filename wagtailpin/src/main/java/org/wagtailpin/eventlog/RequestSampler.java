package org.wagtailpin.eventlog;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Sample of requests by their identifiers, which shrinks by halves while there are too many lines.
 *
 * <p>The identifier alone decides at a given level, and a smaller sample is part of a larger one,
 * so all entries keep the same requests as far as their levels agree. Safe for all threads.
 */
final class RequestSampler {

  private static final long MILLIS_PER_SECOND = 1_000;
  private static final int MAX_LEVEL = 30;

  private final int linesPerSecond;
  private long windowStartMillis = Long.MIN_VALUE;
  private long windowLines;
  private int level;

  RequestSampler(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Decides on a request.
   *
   * @param request its identifier
   * @param lineCount how many lines it has
   * @param nowMillis the time by a steady clock
   * @return whether its lines are kept
   */
  synchronized boolean shouldSample(String request, int lineCount, long nowMillis) {
    if (windowStartMillis == Long.MIN_VALUE) {
      windowStartMillis = nowMillis;
    }
    if (nowMillis - windowStartMillis >= MILLIS_PER_SECOND) {
      lowerLevel(nowMillis - windowStartMillis);
      windowStartMillis = nowMillis;
      windowLines = 0;
    }
    if (linesPerSecond == 0) {
      return false;
    }
    windowLines += lineCount;
    if (windowLines >> level > linesPerSecond && level < MAX_LEVEL) {
      level++;
    }
    return level == 0 || hash(request) >>> (Long.SIZE - level) == 0;
  }

  /** Grows the sample again where the past second would have allowed that. */
  private void lowerLevel(long windowMillis) {
    long measuredLinesPerSecond = windowLines * MILLIS_PER_SECOND / windowMillis;
    while (level > 0 && measuredLinesPerSecond >> (level - 1) <= linesPerSecond) {
      level--;
    }
  }

  private static long hash(String request) {
    return Hashing.komihash5_0().hashCharsToLong(request);
  }
}
