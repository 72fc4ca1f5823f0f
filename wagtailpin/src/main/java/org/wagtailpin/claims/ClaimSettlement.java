package org.wagtailpin.claims;

/** Final state of claimed work, as reported by the entry that dispatched it. */
public sealed interface ClaimSettlement {

  /**
   * The work ran and its answer is complete.
   *
   * @param answer the answer, to be held for duplicates
   */
  record Answered(HeldAnswer answer) implements ClaimSettlement {}

  /** The work ran and its answer was forwarded to the caller, but is too large to be held. */
  record AnsweredNotHeld() implements ClaimSettlement {}

  /** The work was dispatched, and whether it ran is not known. */
  record Unknown() implements ClaimSettlement {}

  /** The work provably did not run; the key may be claimed again. */
  record NotRun() implements ClaimSettlement {}
}
