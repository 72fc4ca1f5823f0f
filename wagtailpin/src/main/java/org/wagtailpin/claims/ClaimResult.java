package org.wagtailpin.claims;

import org.wagtailpin.error.Fault;

/** Result of a claim. */
public sealed interface ClaimResult {

  /**
   * The key is claimed for this call; the work may be dispatched once.
   *
   * @param token the token to pass to {@link Claims#settle}
   */
  record Granted(ClaimToken token) implements ClaimResult {}

  /**
   * The work already ran, and its answer is still held.
   *
   * @param answer the answer of that run, to be returned to the caller
   */
  record Replayed(HeldAnswer answer) implements ClaimResult {}

  /**
   * The work was already dispatched and must not run again; its outcome is not known.
   *
   * @param fault names the attempt that holds the claim and why its outcome is not known
   */
  record AlreadyDispatched(Fault fault) implements ClaimResult {}

  /**
   * The key was already used for a different request.
   *
   * @param fault names the attempt that holds the key
   */
  record KeyReused(Fault fault) implements ClaimResult {}

  /**
   * The key could not be claimed, and the work was not dispatched.
   *
   * @param fault names the entry that could not grant the claim and the reason
   */
  record Unavailable(Fault fault) implements ClaimResult {}
}
