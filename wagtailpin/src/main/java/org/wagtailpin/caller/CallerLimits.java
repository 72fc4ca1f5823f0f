package org.wagtailpin.caller;

/**
 * Limits of callers' connections.
 *
 * @param maxConnections most connections at once; more are closed as they come
 * @param maxRequestLineBytes longest request line
 * @param maxHeadBytes greatest size of a request's headers
 * @param maxBodyBytes longest request body
 * @param idleTimeoutMillis how long a connection may wait for its next request
 * @param headTimeoutMillis longest time from the first byte of a request's head to its last
 * @param bodyStallTimeoutMillis longest pause within a request's body
 * @param answerStallTimeoutMillis longest time in which a caller takes nothing of its answer
 * @param lingerMillis how long a connection is still read after its last answer, so that the answer
 *     is not lost
 * @param maxDiscardedBytes how much of a refused body is read so that the connection can be kept
 * @param maxUnsentBytes how many bytes of an answer wait for a slow caller
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

  /** Returns the limits in force where none are stated. */
  public static CallerLimits defaults() {
    return new CallerLimits(
        20_000, 8_192, 16_384, 1L << 30, 60_000, 10_000, 30_000, 30_000, 1_000, 262_144, 65_536);
  }
}
