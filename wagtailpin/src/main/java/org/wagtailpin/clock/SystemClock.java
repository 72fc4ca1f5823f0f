package org.wagtailpin.clock;

/** Clock of the Java virtual machine. Thread-safe. */
public final class SystemClock implements Clock {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  @Override
  public long millis() {
    return System.nanoTime() / NANOS_PER_MILLI;
  }

  @Override
  public double exactMillis() {
    return (double) System.nanoTime() / NANOS_PER_MILLI;
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }
}
