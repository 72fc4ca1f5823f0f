package org.wagtailpin.routing;

/** Decides whether a call is retried after an attempt without an answer. */
public interface RetryPolicy {

  /**
   * Records that a call makes its first attempt.
   *
   * @param call the call
   */
  void firstAttempt(CallDescriptor call);

  /**
   * Decides on another attempt. A decision to retry spends one retry of the budget.
   *
   * @param call the call
   * @param history the attempts made
   * @param outcome how the last attempt ended
   * @return whether to retry, and after which delay
   */
  RetryDecision decide(CallDescriptor call, AttemptHistory history, AttemptOutcome outcome);
}
