package org.wagtailpin.claims;

import org.wagtailpin.error.Fault;

/** How a claim ended. */
public sealed interface ClaimResult {

  /**
   * The key is claimed for this call; the work may be dispatched once.
   *
   * @param token the token to settle with
   */
  record Granted(ClaimToken token) implements ClaimResult {}

  /**
   * The work was run before, and its answer is still held.
   *
   * @param answer the answer of the first run
   */
  record Replayed(HeldAnswer answer) implements ClaimResult {}

  /**
   * The work was dispatched before and must not run again; its outcome is not known here.
   *
   * @param fault who holds the claim
   */
  record AlreadyDispatched(Fault fault) implements ClaimResult {}

  /**
   * The key was used before for a different request.
   *
   * @param fault the details
   */
  record KeyReused(Fault fault) implements ClaimResult {}

  /**
   * The claim could not be made; the work was not dispatched.
   *
   * @param fault why
   */
  record Unavailable(Fault fault) implements ClaimResult {}
}
