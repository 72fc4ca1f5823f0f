package org.wagtailpin.routing;

/** Handle by which a request for a server is withdrawn. */
public interface PlacementHandle {

  /**
   * Withdraws the request. A grant that was delivered before, or is being delivered meanwhile, must
   * still be finished.
   */
  void withdraw();
}
