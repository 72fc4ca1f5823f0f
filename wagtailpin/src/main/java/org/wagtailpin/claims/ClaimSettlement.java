package org.wagtailpin.claims;

/** How claimed work ended. */
public sealed interface ClaimSettlement {

  /**
   * The work ran and its answer is whole.
   *
   * @param answer the answer
   */
  record Answered(HeldAnswer answer) implements ClaimSettlement {}

  /** The work ran and its answer was passed on, but is too large to be held. */
  record AnsweredNotHeld() implements ClaimSettlement {}

  /** The work was dispatched and whether it ran is not known. */
  record Unknown() implements ClaimSettlement {}

  /** It is proved that the work was not run; the key may be claimed again. */
  record NotRun() implements ClaimSettlement {}
}
