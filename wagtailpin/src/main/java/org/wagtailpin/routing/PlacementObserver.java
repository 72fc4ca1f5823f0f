package org.wagtailpin.routing;

import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;

/** Told of each decision, for log lines and metrics. Called on traffic threads; must not block. */
public interface PlacementObserver {

  /**
   * Called when an attempt gets its server.
   *
   * @param call the call
   * @param server the server
   * @param reason why
   */
  void granted(CallDescriptor call, ConfigServer server, PlacementReason reason);

  /**
   * Called when a call gets no server.
   *
   * @param call the call
   * @param fault what it is told
   * @param reason why
   */
  void refused(CallDescriptor call, Fault fault, PlacementReason reason);

  /**
   * Called when a server changes between taking work and not taking it.
   *
   * @param server the server
   * @param change what happened
   */
  void serverChanged(ConfigServer server, ServerChange change);

  /** Returns an observer that does nothing. */
  static PlacementObserver none() {
    return new NoOpPlacementObserver();
  }
}
