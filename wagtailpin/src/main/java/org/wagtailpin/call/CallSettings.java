package org.wagtailpin.call;

/**
 * Limits of calls.
 *
 * @param maxBufferedBodyBytes maximum length of a request body that is buffered before it is sent,
 *     so that it can be sent again; longer bodies are streamed
 * @param maxHeldAnswerBytes maximum length of an answer that is held for later requests with the
 *     same idempotency key
 * @param maxFeedBytes maximum number of bytes of a streamed request body that are queued for a slow
 *     backend server
 * @param maxBufferedAnswerBytes maximum length of an answer that is buffered before it is relayed,
 *     if the dialect buffers answers
 * @param maxAnswerBytes maximum length of an answer's body; a longer one is cut off
 * @param retryAfterMillis retry delay sent with answers to requests that were not run, in
 *     milliseconds
 */
public record CallSettings(
    int maxBufferedBodyBytes,
    int maxHeldAnswerBytes,
    int maxFeedBytes,
    int maxBufferedAnswerBytes,
    long maxAnswerBytes,
    long retryAfterMillis) {

  private static final int MAX_BUFFERED_BODY_BYTES = 65_536;
  private static final int MAX_HELD_ANSWER_BYTES = 65_536;
  private static final int MAX_FEED_BYTES = 65_536;
  private static final int MAX_BUFFERED_ANSWER_BYTES = 262_144;
  private static final long MAX_ANSWER_BYTES = 1_073_741_824;
  private static final long RETRY_AFTER_MILLIS = 100;

  /** Returns the default limits. */
  public static CallSettings defaults() {
    return new CallSettings(
        MAX_BUFFERED_BODY_BYTES,
        MAX_HELD_ANSWER_BYTES,
        MAX_FEED_BYTES,
        MAX_BUFFERED_ANSWER_BYTES,
        MAX_ANSWER_BYTES,
        RETRY_AFTER_MILLIS);
  }
}
