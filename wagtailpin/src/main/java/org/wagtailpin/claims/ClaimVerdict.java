package org.wagtailpin.claims;

/** Reply of a shard owner to a claim. */
sealed interface ClaimVerdict {

  /** The claim is in the log under this attempt, and this attempt holds the key. */
  record Granted() implements ClaimVerdict {}

  /**
   * Another attempt holds the key, for the same request.
   *
   * @param attempt the id of the attempt that holds the key
   */
  record Claimed(String attempt) implements ClaimVerdict {}

  /**
   * Another attempt holds the key, for a different request.
   *
   * @param attempt the id of the attempt that holds the key
   */
  record Reused(String attempt) implements ClaimVerdict {}

  /**
   * The attempt is not granted and never will be.
   *
   * @param detail the reason, as shown to operators
   */
  record Unavailable(String detail) implements ClaimVerdict {}

  /** The entry does not own the shard and recorded nothing. */
  record NotOwner() implements ClaimVerdict {}
}
