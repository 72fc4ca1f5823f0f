package org.wagtailpin.caller;

/**
 * Limits of the connections of callers.
 *
 * @param maxConnections maximum number of open connections; further ones are closed on accept
 * @param maxRequestLineBytes maximum length of a request line
 * @param maxHeadBytes maximum size of a request's headers
 * @param maxBodyBytes maximum length of a request body
 * @param idleTimeoutMillis how long a connection may wait for its next request
 * @param headTimeoutMillis maximum time from the first byte of a request head to its last
 * @param bodyStallTimeoutMillis maximum time without new bytes while a request body is read
 * @param answerStallTimeoutMillis maximum time for which a caller may accept no bytes of its answer
 * @param lingerMillis how long a connection is still read after its last answer, because closing it
 *     with unread input could discard the answer
 * @param maxDiscardedBytes maximum number of bytes of a refused body that are read in order to keep
 *     the connection open
 * @param maxUnsentBytes high water mark of the answer bytes that are queued for a slow caller
 */
public record CallerLimits(
    int maxConnections,
    int maxRequestLineBytes,
    int maxHeadBytes,
    long maxBodyBytes,
    long idleTimeoutMillis,
    long headTimeoutMillis,
    long bodyStallTimeoutMillis,
    long answerStallTimeoutMillis,
    long lingerMillis,
    int maxDiscardedBytes,
    int maxUnsentBytes) {

  /** Returns the default limits. */
  public static CallerLimits defaults() {
    return new CallerLimits(
        20_000, 8_192, 16_384, 1L << 30, 60_000, 10_000, 30_000, 30_000, 1_000, 262_144, 65_536);
  }
}
