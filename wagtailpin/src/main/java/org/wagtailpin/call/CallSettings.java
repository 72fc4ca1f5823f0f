package org.wagtailpin.call;

/**
 * Settings of calls.
 *
 * @param maxBufferedBodyBytes the longest request body that is read whole before it is sent, so
 *     that it can be sent again; longer ones are streamed
 * @param maxHeldAnswerBytes the longest answer that is held for callers who ask again with the same
 *     idempotency key
 * @param maxFeedBytes how many bytes of a streamed request body wait for a slow server
 * @param maxBufferedAnswerBytes the longest answer that is collected whole before it is passed on,
 *     where the dialect asks for that
 * @param retryAfterMillis when a caller may come back with a request that was not run
 */
public record CallSettings(
    int maxBufferedBodyBytes,
    int maxHeldAnswerBytes,
    int maxFeedBytes,
    int maxBufferedAnswerBytes,
    long retryAfterMillis) {

  private static final int MAX_BUFFERED_BODY_BYTES = 65_536;
  private static final int MAX_HELD_ANSWER_BYTES = 65_536;
  private static final int MAX_FEED_BYTES = 65_536;
  private static final int MAX_BUFFERED_ANSWER_BYTES = 262_144;
  private static final long RETRY_AFTER_MILLIS = 100;

  /** Returns the settings in force where none are stated. */
  public static CallSettings defaults() {
    return new CallSettings(
        MAX_BUFFERED_BODY_BYTES,
        MAX_HELD_ANSWER_BYTES,
        MAX_FEED_BYTES,
        MAX_BUFFERED_ANSWER_BYTES,
        RETRY_AFTER_MILLIS);
  }
}
