package org.wagtailpin.store;

/**
 * Timeouts of the store client.
 *
 * @param connectMillis the timeout for opening a connection, in milliseconds
 * @param callMillis the timeout for a complete call, in milliseconds; for a watch, its wait time is
 *     added
 */
public record StoreTimeouts(long connectMillis, long callMillis) {

  private static final long DEFAULT_CONNECT_MILLIS = 500;
  private static final long DEFAULT_CALL_MILLIS = 2000;

  /** Returns the default timeouts, for a store that responds within milliseconds. */
  public static StoreTimeouts defaults() {
    return new StoreTimeouts(DEFAULT_CONNECT_MILLIS, DEFAULT_CALL_MILLIS);
  }
}
