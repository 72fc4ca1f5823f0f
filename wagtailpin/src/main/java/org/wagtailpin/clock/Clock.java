package org.wagtailpin.clock;

/**
 * Source of time in milliseconds.
 *
 * <p>The monotonic time never decreases and has an arbitrary origin that differs between processes,
 * so only differences within one process are meaningful. It is used for deadlines, leases and
 * timeouts. The wall-clock time is for log lines and for messages to other processes, and may jump.
 */
public interface Clock {

  /** Returns the monotonic time in whole milliseconds. */
  long millis();

  /** Returns the monotonic time in milliseconds with a fraction, for measuring latencies. */
  double exactMillis();

  /** Returns the wall-clock time in milliseconds since 1970-01-01T00:00:00Z. */
  long wallMillis();
}
