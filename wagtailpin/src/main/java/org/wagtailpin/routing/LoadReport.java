package org.wagtailpin.routing;

/**
 * The load that a backend server reports about itself.
 *
 * @param inFlight how many requests it is running, from all entries, at least 0
 * @param queued how many requests wait at the server, at least 0
 * @param leaving whether it reports that it is leaving
 * @param slowness the factor by which work on its machine currently takes longer than usual; 1 if
 *     not reported
 */
public record LoadReport(int inFlight, int queued, boolean leaving, double slowness) {

  /**
   * Creates a report of a server that does not report its slowness.
   *
   * @param inFlight how many requests it is running
   * @param queued how many requests wait at it
   * @param leaving whether it reports that it is leaving
   */
  public LoadReport(int inFlight, int queued, boolean leaving) {
    this(inFlight, queued, leaving, 1);
  }
}
