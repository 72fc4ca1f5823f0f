package org.wagtailpin.routing;

/**
 * What a backend server says of its own load.
 *
 * @param inFlight how many requests it runs, over all entries, at least 0
 * @param queued how many requests wait at the server, at least 0
 * @param leaving whether it says that it is leaving
 * @param slowness how many times longer than usual work takes on its machine now; 1 if not told
 */
public record LoadReport(int inFlight, int queued, boolean leaving, double slowness) {

  /**
   * Creates a report of a server that does not tell its slowness.
   *
   * @param inFlight how many requests it runs
   * @param queued how many requests wait at it
   * @param leaving whether it says that it is leaving
   */
  public LoadReport(int inFlight, int queued, boolean leaving) {
    this(inFlight, queued, leaving, 1);
  }
}
