package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;

/** A placement observer that does nothing. */
final class NoOpPlacementObserver implements PlacementObserver {

  @Override
  public void granted(CallDescriptor call, ConfigServer server, PlacementReason reason) {}

  @Override
  public void refused(CallDescriptor call, Fault fault, PlacementReason reason) {}

  @Override
  public void serverChanged(ConfigServer server, ServerChange change) {}

  @Override
  public void limitChanged(
      ConfigServer server, Optional<Double> perSecond, double sharePerSecond) {}
}
