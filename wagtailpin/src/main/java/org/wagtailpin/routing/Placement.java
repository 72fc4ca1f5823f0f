package org.wagtailpin.routing;

/**
 * Decides which backend server runs a call's next attempt, and when.
 *
 * <p>Safe for use by all traffic threads. Every request that is not withdrawn is answered exactly
 * once, immediately or later, on the requesting thread or on another.
 */
public interface Placement {

  /**
   * Requests a server for the next attempt.
   *
   * @param call the call
   * @param history the call's earlier attempts
   * @param listener receives the decision
   * @return a handle to withdraw the request
   */
  PlacementHandle request(CallDescriptor call, AttemptHistory history, PlacementListener listener);
}
