package org.wagtailpin.backend;

/**
 * Settings of the connections to backend servers.
 *
 * @param connectTimeoutMillis maximum time to open a connection, 1 to 60000
 * @param idleTimeoutMillis how long an idle connection is kept, at least 1; should be less than the
 *     servers' idle timeout, so that a server does not close a connection while a request is being
 *     sent on it
 * @param maxStatusLineBytes maximum length of an answer's status line
 * @param maxHeadBytes maximum size of an answer's headers
 * @param maxBytesBeforeAnswer maximum number of bytes from the request on until the head of its
 *     answer has ended, such as interim answers
 */
public record BackendSettings(
    int connectTimeoutMillis,
    int idleTimeoutMillis,
    int maxStatusLineBytes,
    int maxHeadBytes,
    int maxBytesBeforeAnswer) {

  private static final int CONNECT_TIMEOUT_MILLIS = 250;
  private static final int IDLE_TIMEOUT_MILLIS = 4_000;
  private static final int MAX_STATUS_LINE_BYTES = 4_096;
  private static final int MAX_HEAD_BYTES = 32_768;
  private static final int MAX_BYTES_BEFORE_ANSWER = 131_072;

  /** Returns the default settings. */
  public static BackendSettings defaults() {
    return new BackendSettings(
        CONNECT_TIMEOUT_MILLIS,
        IDLE_TIMEOUT_MILLIS,
        MAX_STATUS_LINE_BYTES,
        MAX_HEAD_BYTES,
        MAX_BYTES_BEFORE_ANSWER);
  }
}
