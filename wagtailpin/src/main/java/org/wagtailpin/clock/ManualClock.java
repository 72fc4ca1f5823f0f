package org.wagtailpin.clock;

import java.util.concurrent.atomic.AtomicLong;

/** Clock that advances only by method calls, for tests in simulated time. Thread-safe. */
public final class ManualClock implements Clock {

  private final AtomicLong monotonicMillis;
  private final AtomicLong wallOffsetMillis = new AtomicLong();

  /**
   * Creates a clock whose wall-clock time equals its monotonic time until {@link #jumpWall}.
   *
   * @param startMillis the initial monotonic time, in milliseconds
   */
  public ManualClock(long startMillis) {
    this.monotonicMillis = new AtomicLong(startMillis);
  }

  /**
   * Advances both the monotonic and the wall-clock time.
   *
   * @param millis by how much, in milliseconds, at least 0
   * @throws IllegalArgumentException if the value is negative
   */
  public void advance(long millis) {
    if (millis < 0) {
      throw new IllegalArgumentException("cannot advance the monotonic clock by " + millis + " ms");
    }
    monotonicMillis.addAndGet(millis);
  }

  /**
   * Makes the wall-clock time jump, as a time correction on a host does.
   *
   * @param millis by how much, in milliseconds; negative to set it back
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
