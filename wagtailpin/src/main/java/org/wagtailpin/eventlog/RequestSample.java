package org.wagtailpin.eventlog;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Sample of requests by their identifiers, which shrinks by halves while there are too many lines.
 *
 * <p>The identifier alone decides at a given level, and a smaller sample is part of a larger one,
 * so all entries keep the same requests as far as their levels agree. Safe for all threads.
 */
final class RequestSample {

  private static final long SECOND_MILLIS = 1_000;
  private static final int MAX_LEVEL = 30;

  private final int linesPerSecond;
  private long secondStartMillis = Long.MIN_VALUE;
  private long lines;
  private int level;

  RequestSample(int linesPerSecond) {
    this.linesPerSecond = linesPerSecond;
  }

  /**
   * Decides on a request.
   *
   * @param request its identifier
   * @param itsLines how many lines it has
   * @param nowMillis the time by a steady clock
   * @return whether its lines are kept
   */
  synchronized boolean keeps(String request, int itsLines, long nowMillis) {
    if (secondStartMillis == Long.MIN_VALUE) {
      secondStartMillis = nowMillis;
    }
    if (nowMillis - secondStartMillis >= SECOND_MILLIS) {
      adapt(nowMillis - secondStartMillis);
      secondStartMillis = nowMillis;
      lines = 0;
    }
    if (linesPerSecond == 0) {
      return false;
    }
    lines += itsLines;
    if (lines >> level > linesPerSecond && level < MAX_LEVEL) {
      level++;
    }
    return level == 0 || hash(request) >>> (Long.SIZE - level) == 0;
  }

  /** Grows the sample again where the past second would have allowed that. */
  private void adapt(long spanMillis) {
    long perSecond = lines * SECOND_MILLIS / spanMillis;
    while (level > 0 && perSecond >> (level - 1) <= linesPerSecond) {
      level--;
    }
  }

  private static long hash(String request) {
    return Hashing.komihash5_0().hashCharsToLong(request);
  }
}
