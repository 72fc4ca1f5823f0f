package org.wagtailpin.routing;

import java.util.OptionalLong;

/**
 * Decides when a second attempt of a call is started beside its first.
 *
 * <p>The traffic path asks for the delay when the first attempt is dispatched. If the delay passes
 * without an answer, it asks {@link #spend} and, if allowed, requests a server for a second attempt
 * with the first one's server in the history. The first whole answer goes to the caller. The other
 * attempt is cancelled and its grant finished with {@link AttemptOutcome.Cancelled}, so that its
 * slot stays counted for a while.
 */
public interface HedgePolicy {

  /**
   * Returns how long after its first attempt a call may get a second one.
   *
   * @param call the call
   * @return the delay in milliseconds, or empty if the call gets none
   */
  OptionalLong delayMillis(CallDescriptor call);

  /**
   * Spends the budget on a second attempt.
   *
   * @param call the call
   * @return whether the attempt may be made
   */
  boolean spend(CallDescriptor call);
}
