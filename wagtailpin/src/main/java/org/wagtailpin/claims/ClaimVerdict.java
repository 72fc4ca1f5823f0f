package org.wagtailpin.claims;

/** What the owner of a shard answers to a claim. */
sealed interface ClaimVerdict {

  /** The claim is in the log; it was not there under this attempt before. */
  record Granted() implements ClaimVerdict {}

  /**
   * Another attempt holds the key.
   *
   * @param attempt that attempt
   */
  record Claimed(String attempt) implements ClaimVerdict {}

  /**
   * Another attempt holds the key, for another request.
   *
   * @param attempt that attempt
   */
  record Reused(String attempt) implements ClaimVerdict {}

  /**
   * The attempt is not granted and never will be.
   *
   * @param detail why
   */
  record Unavailable(String detail) implements ClaimVerdict {}

  /** This entry does not own the shard and did nothing. */
  record NotOwner() implements ClaimVerdict {}
}
