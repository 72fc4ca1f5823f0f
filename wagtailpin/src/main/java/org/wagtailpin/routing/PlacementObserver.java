package org.wagtailpin.routing;

import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;

/**
 * Receives each placement decision, for log lines and metrics. Called on traffic threads; must not
 * block.
 */
public interface PlacementObserver {

  /**
   * Called when an attempt is given a server.
   *
   * @param call the call
   * @param server the server
   * @param reason the reason for the decision
   */
  void granted(CallDescriptor call, ConfigServer server, PlacementReason reason);

  /**
   * Called when a call is refused a server.
   *
   * @param call the call
   * @param fault the fault that the call receives
   * @param reason the reason for the decision
   */
  void refused(CallDescriptor call, Fault fault, PlacementReason reason);

  /**
   * Called when a server starts or stops taking work.
   *
   * @param server the server
   * @param change the change
   */
  void serverChanged(ConfigServer server, ServerChange change);

  /** Returns an observer that does nothing. */
  static PlacementObserver none() {
    return new NoOpPlacementObserver();
  }
}
