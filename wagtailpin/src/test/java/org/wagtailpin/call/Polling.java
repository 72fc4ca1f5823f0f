package org.wagtailpin.call;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for a condition by polling it. */
public final class Polling {

  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private Polling() {}

  /** Waits until a condition holds; fails the test after 20 seconds. */
  public static void until(BooleanSupplier condition) {
    long end = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("condition not met within 20 seconds");
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }
}
