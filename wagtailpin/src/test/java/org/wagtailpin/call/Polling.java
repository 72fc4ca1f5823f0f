package org.wagtailpin.call;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waiting for a condition, with a bound against hanging. */
public final class Polling {

  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private Polling() {}

  /** Waits until a condition holds. */
  public static void until(BooleanSupplier condition) {
    long end = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("the condition did not come to hold");
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }
}
