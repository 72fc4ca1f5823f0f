package org.wagtailpin.routing;

/** A request for a server that can still be withdrawn. */
public interface PlacementHandle {

  /**
   * Withdraws the request. If a grant was or is being told nonetheless, it must still be finished.
   */
  void withdraw();
}
