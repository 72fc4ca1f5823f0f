package org.wagtailpin.eventlog;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Samples requests by the hash of their identifiers; the sampled share is halved while there are
 * too many lines.
 *
 * <p>A level of n keeps a share of 2<sup>-n</sup> of the requests. At a given level only the
 * identifier decides, and the sample of a higher level is a subset of that of a lower one, so
 * entries at the same level keep the same requests. Thread-safe.
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
   * Decides whether a request is sampled, and counts its lines towards the current rate.
   *
   * @param request the request's identifier
   * @param lineCount the number of its lines
   * @param nowMillis the time of a monotonic clock, in milliseconds
   * @return whether its lines are written; never if the rate is 0
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

  /** Lowers the level as far as the line rate of the past window allows. */
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
