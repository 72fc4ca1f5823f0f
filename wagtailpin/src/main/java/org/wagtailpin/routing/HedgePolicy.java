package org.wagtailpin.routing;

import java.util.OptionalLong;

/**
 * Decides when a second attempt of a call is started while its first is still running.
 *
 * <p>The traffic path reads the delay when the first attempt is dispatched. If the delay passes
 * without an answer, it calls {@link #spend} and, if allowed, requests a server for a second
 * attempt with the first one's server in the history. The first complete answer goes to the caller.
 * The other attempt is cancelled and its grant finished with {@link AttemptOutcome.Cancelled}, so
 * that its slot stays counted while the server may still run it.
 */
public interface HedgePolicy {

  /**
   * Returns how long after its first attempt a call may get a second one.
   *
   * @param call the call
   * @return the delay in milliseconds, or empty if the call is not hedged
   */
  OptionalLong delayMillis(CallDescriptor call);

  /**
   * Spends one unit of the budget on a second attempt.
   *
   * @param call the call
   * @return whether the budget allowed it; if not, nothing was spent
   */
  boolean spend(CallDescriptor call);
}
