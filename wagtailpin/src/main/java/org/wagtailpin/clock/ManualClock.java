package org.wagtailpin.clock;

import java.util.concurrent.atomic.AtomicLong;

/** Clock that moves only when told to, for tests in controlled time. Safe for use by threads. */
public final class ManualClock implements Clock {

  private final AtomicLong monotonicMillis;
  private final AtomicLong wallOffsetMillis = new AtomicLong();

  /**
   * Creates a clock.
   *
   * @param startMillis the first reading, in milliseconds
   */
  public ManualClock(long startMillis) {
    this.monotonicMillis = new AtomicLong(startMillis);
  }

  /**
   * Moves the clock forward.
   *
   * @param millis how far, in milliseconds, at least 0
   * @throws IllegalArgumentException if the step is negative
   */
  public void advance(long millis) {
    if (millis < 0) {
      throw new IllegalArgumentException("a monotonic clock cannot go back by " + millis + " ms");
    }
    monotonicMillis.addAndGet(millis);
  }

  /**
   * Makes the wall reading jump, as a time correction on a host does.
   *
   * @param millis how far, in milliseconds, negative to go back
   */
  public void jumpWall(long millis) {
    wallOffsetMillis.addAndGet(millis);
  }

  @Override
  public long millis() {
    return monotonicMillis.get();
  }

  @Override
  public double exactMillis() {
    return monotonicMillis.get();
  }

  @Override
  public long wallMillis() {
    return monotonicMillis.get() + wallOffsetMillis.get();
  }
}
