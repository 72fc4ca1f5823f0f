package org.wagtailpin.routing;

/**
 * Decides which backend server runs a call's next attempt, and when.
 *
 * <p>Safe for use by all traffic threads. A placement answers every request exactly once, at once
 * or later, on the thread that asked or on another.
 */
public interface Placement {

  /**
   * Asks for a server for the next attempt.
   *
   * @param call the call
   * @param history the call's earlier attempts
   * @param listener told of the decision
   * @return a handle to withdraw the request
   */
  PlacementHandle request(CallDescriptor call, AttemptHistory history, PlacementListener listener);
}
