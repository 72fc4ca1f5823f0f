package org.wagtailpin.routing;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * When servers are probed for the calls that wait for one service. Only {@link #end} may be called
 * outside of a round of the queue.
 */
final class ProbeSchedule {

  private final AtomicBoolean running = new AtomicBoolean();
  private double nextMillis = Double.NEGATIVE_INFINITY;
  private double nextFarMillis = Double.NEGATIVE_INFINITY;

  /**
   * Begins to probe, unless it is too soon after the last beginning or that has not ended yet.
   *
   * @param nowMillis the current time
   * @param pauseMillis the least time from one beginning to the next
   */
  boolean tryBegin(double nowMillis, double pauseMillis) {
    if (nowMillis < nextMillis || !running.compareAndSet(false, true)) {
      return false;
    }
    nextMillis = nowMillis + pauseMillis;
    return true;
  }

  /** Ends the probing that has begun. */
  void end() {
    running.set(false);
  }

  /**
   * Returns whether servers of other regions are to be probed this time, and if so, counts the
   * pause from now on.
   *
   * @param nowMillis the current time
   * @param pauseMillis the least time from one such probing to the next
   */
  boolean isFarDue(double nowMillis, double pauseMillis) {
    if (nowMillis < nextFarMillis) {
      return false;
    }
    nextFarMillis = nowMillis + pauseMillis;
    return true;
  }
}
