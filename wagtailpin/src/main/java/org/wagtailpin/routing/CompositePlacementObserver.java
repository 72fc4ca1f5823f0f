package org.wagtailpin.routing;

import java.util.List;
import java.util.Optional;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;

/** A placement observer that passes each decision on to several observers. */
public final class CompositePlacementObserver implements PlacementObserver {

  private final List<PlacementObserver> observers;

  /**
   * Creates an observer of several observers.
   *
   * @param observers the observers, called in this order
   */
  public CompositePlacementObserver(List<PlacementObserver> observers) {
    this.observers = List.copyOf(observers);
  }

  @Override
  public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {
    for (PlacementObserver observer : observers) {
      observer.granted(call, server, reason);
    }
  }

  @Override
  public void refused(CallDescriptor call, Fault fault, PlacementReason reason) {
    for (PlacementObserver observer : observers) {
      observer.refused(call, fault, reason);
    }
  }

  @Override
  public void serverChanged(ConfigServer server, ServerChange change) {
    for (PlacementObserver observer : observers) {
      observer.serverChanged(server, change);
    }
  }

  @Override
  public void limitChanged(ConfigServer server, Optional<Double> perSecond, double sharePerSecond) {
    for (PlacementObserver observer : observers) {
      observer.limitChanged(server, perSecond, sharePerSecond);
    }
  }
}
