package org.wagtailpin.call;

import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.RetryDecision;
import org.wagtailpin.routing.RetryPolicy;

/** Retries after proof, or where the work may be repeated, up to three attempts. */
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
