package org.wagtailpin.routing;

/**
 * The rule behind a placement decision, and the figures that the decision was based on.
 *
 * @param rule the rule that decided
 * @param candidates the number of near servers to compare, 0 for a refusal
 * @param inFlight this entry's attempts in flight on the server, including the new one
 * @param estimatedLoad the estimated work on the server from all entries, in calls
 * @param reportAgeMillis the age of the server's last load report, below 0 if there is none
 * @param queuedMillis how long the call was queued here, in milliseconds
 */
public record PlacementReason(
    PlacementRule rule,
    int candidates,
    int inFlight,
    double estimatedLoad,
    double reportAgeMillis,
    double queuedMillis) {

  static PlacementReason refusal(PlacementRule rule, double queuedMillis) {
    return new PlacementReason(rule, 0, 0, 0, -1, queuedMillis);
  }
}
