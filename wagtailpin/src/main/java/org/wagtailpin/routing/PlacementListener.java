package org.wagtailpin.routing;

import org.wagtailpin.error.Fault;

/** Told the decision on a request for a server; exactly one of its methods is called, once. */
public interface PlacementListener {

  /**
   * Called with the server that is to run the attempt.
   *
   * @param grant the server and the slot taken on it, to be finished exactly once
   */
  void granted(Grant grant);

  /**
   * Called when no attempt is to be made. Nothing was dispatched by this request.
   *
   * @param fault why
   */
  void refused(Fault fault);
}
