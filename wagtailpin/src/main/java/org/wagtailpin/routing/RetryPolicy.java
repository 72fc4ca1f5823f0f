package org.wagtailpin.routing;

/** Decides whether a call whose attempt brought no answer is tried again. */
public interface RetryPolicy {

  /**
   * Notes that a call makes its first attempt.
   *
   * @param call the call
   */
  void firstAttempt(CallDescriptor call);

  /**
   * Decides on another attempt. A decision to retry spends the budget.
   *
   * @param call the call
   * @param history the attempts made
   * @param outcome how the last one ended
   * @return whether to try again
   */
  RetryDecision decide(CallDescriptor call, AttemptHistory history, AttemptOutcome outcome);
}
