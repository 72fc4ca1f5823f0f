package org.wagtailpin.routing;

/**
 * Receives the decision on a request for a server. Exactly one of the methods is called, once,
 * unless the request is withdrawn.
 */
public interface PlacementListener {

  /**
   * Called with the server that is to run the attempt.
   *
   * @param grant the server and the slot occupied on it; must be finished exactly once
   */
  void granted(Grant grant);

  /**
   * Called when no attempt is to be made. The request has dispatched nothing.
   *
   * @param refusal the reason, and when to come back
   */
  void refused(Refusal refusal);
}
