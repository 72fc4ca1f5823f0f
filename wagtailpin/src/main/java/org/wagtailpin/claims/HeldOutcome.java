package org.wagtailpin.claims;

/** Outcome of an attempt, as known to the entry that made it. */
sealed interface HeldOutcome {

  /**
   * The work ran, and its answer is held.
   *
   * @param answer the answer to replay
   */
  record Held(HeldAnswer answer) implements HeldOutcome {}

  /** The work is still running, or may be dispatched at any moment. */
  record Running() implements HeldOutcome {}

  /** The work did not run and never will under this attempt. */
  record NotRun() implements HeldOutcome {}

  /** No outcome is held; the work may or may not have run. */
  record NotHeld() implements HeldOutcome {}
}
