package org.wagtailpin.call;

/**
 * Settings of calls.
 *
 * @param heldBodyBytes the longest request body that is read whole before it is sent, so that it
 *     can be sent again; longer ones are streamed
 * @param heldAnswerBytes the longest answer that is held for callers who ask again with the same
 *     idempotency key
 * @param feedBytes how many bytes of a streamed request body wait for a slow server
 */
public record CallSettings(int heldBodyBytes, int heldAnswerBytes, int feedBytes) {

  private static final int HELD_BODY_BYTES = 65_536;
  private static final int HELD_ANSWER_BYTES = 65_536;
  private static final int FEED_BYTES = 65_536;

  /** Returns the settings in force where none are stated. */
  public static CallSettings defaults() {
    return new CallSettings(HELD_BODY_BYTES, HELD_ANSWER_BYTES, FEED_BYTES);
  }
}
