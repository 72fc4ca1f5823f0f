package org.wagtailpin.routing;

/**
 * Why a placement decided as it did.
 *
 * @param rule the rule that decided
 * @param candidates how many servers were compared
 * @param inFlight this entry's attempts in flight on the server, the new one among them
 * @param estimatedLoad the work that the server was taken to have from all entries
 * @param reportAgeMillis the age of the server's last load report, below 0 if there is none
 * @param queuedMillis how long the call was queued here
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
