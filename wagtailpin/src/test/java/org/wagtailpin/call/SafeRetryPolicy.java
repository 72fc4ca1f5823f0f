package org.wagtailpin.call;

import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.RetryDecision;
import org.wagtailpin.routing.RetryPolicy;

/**
 * Retries up to three attempts without delay, if it is proved that the request was not run or if
 * the request is repeatable.
 */
final class SafeRetryPolicy implements RetryPolicy {

  private static final int MAX_ATTEMPTS = 3;

  @Override
  public void firstAttempt(CallDescriptor call) {}

  @Override
  public RetryDecision decide(CallDescriptor call, AttemptHistory history, AttemptOutcome outcome) {
    boolean safe = outcome instanceof AttemptOutcome.NotRun || call.repeatable();
    return new RetryDecision(safe && history.attempts() < MAX_ATTEMPTS, "test", 0);
  }
}
