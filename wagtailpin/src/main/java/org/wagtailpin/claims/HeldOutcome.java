package org.wagtailpin.claims;

/** What the entry that made an attempt knows about it. */
sealed interface HeldOutcome {

  /**
   * The work ran.
   *
   * @param answer its answer
   */
  record Held(HeldAnswer answer) implements HeldOutcome {}

  /** The work still runs, or may be dispatched at any moment. */
  record Running() implements HeldOutcome {}

  /** The work was not run and never will be under this attempt. */
  record NotRun() implements HeldOutcome {}

  /** Nothing is held. */
  record NotHeld() implements HeldOutcome {}
}
