package org.wagtailpin.store;

/**
 * How long the client waits for the store.
 *
 * @param connectMillis for a connection, in milliseconds
 * @param callMillis for the whole of a call, in milliseconds; a watch has its time to wait on top
 */
public record StoreTimeouts(long connectMillis, long callMillis) {

  private static final long DEFAULT_CONNECT_MILLIS = 500;
  private static final long DEFAULT_CALL_MILLIS = 2000;

  /** Returns the timeouts for a store that answers in milliseconds. */
  public static StoreTimeouts defaults() {
    return new StoreTimeouts(DEFAULT_CONNECT_MILLIS, DEFAULT_CALL_MILLIS);
  }
}
