package org.wagtailpin.routing;

import java.util.Optional;
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

  /**
   * Called when a server names a limit of requests, changes it or names none any more.
   *
   * @param server the server
   * @param perSecond the limit over all entries, in requests per second, empty if there is none
   * @param sharePerSecond this entry's share of it
   */
  void limitChanged(ConfigServer server, Optional<Double> perSecond, double sharePerSecond);

  /** Returns an observer that does nothing. */
  static PlacementObserver none() {
    return new NoOpPlacementObserver();
  }
}
