package org.wagtailpin.call;

/**
 * Settings of calls.
 *
 * @param heldBodyBytes the longest request body that is read whole before it is sent, so that it
 *     can be sent again; longer ones are streamed
 * @param heldAnswerBytes the longest answer that is held for callers who ask again with the same
 *     idempotency key
 * @param feedBytes how many bytes of a streamed request body wait for a slow server
 * @param collectedAnswerBytes the longest answer that is collected whole before it is passed on,
 *     where the dialect asks for that
 * @param retryAfterMillis when a caller may come back with a request that was not run
 */
public record CallSettings(
    int heldBodyBytes,
    int heldAnswerBytes,
    int feedBytes,
    int collectedAnswerBytes,
    long retryAfterMillis) {

  private static final int HELD_BODY_BYTES = 65_536;
  private static final int HELD_ANSWER_BYTES = 65_536;
  private static final int FEED_BYTES = 65_536;
  private static final int COLLECTED_ANSWER_BYTES = 262_144;
  private static final long RETRY_AFTER_MILLIS = 100;

  /** Returns the settings in force where none are stated. */
  public static CallSettings defaults() {
    return new CallSettings(
        HELD_BODY_BYTES, HELD_ANSWER_BYTES, FEED_BYTES, COLLECTED_ANSWER_BYTES, RETRY_AFTER_MILLIS);
  }
}
