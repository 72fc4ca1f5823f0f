package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.limits.CustomerExcess;

/**
 * The rule behind a placement decision, and the figures that the decision was based on.
 *
 * @param rule the rule that decided
 * @param candidates the number of near servers to compare; for a refusal, how many servers may be
 *     given the call, busy or not
 * @param inFlight this entry's attempts in flight on the server, including the new one; for a
 *     refusal, its attempts on all servers of the service
 * @param estimatedLoad the estimated work on the server from all entries, in calls; for a refusal,
 *     on the cheapest server
 * @param reportAgeMillis the age of that server's last load report, below 0 if there is none
 * @param queuedMillis how long the call was queued here, in milliseconds
 * @param queueLength how many calls of the service are queued here
 * @param longWork whether the call counted as long work
 * @param medianMillis the median service time of the service, as known to this entry
 * @param work how long the call's work is expected to take
 * @param excess why the call exceeds the share of its customer, if it does
 */
public record PlacementReason(
    PlacementRule rule,
    int candidates,
    int inFlight,
    double estimatedLoad,
    double reportAgeMillis,
    double queuedMillis,
    int queueLength,
    boolean longWork,
    double medianMillis,
    WorkEstimate work,
    Optional<CustomerExcess> excess) {

  /** Creates the reason of a decision on a call that does not exceed the share of a customer. */
  public PlacementReason(
      PlacementRule rule,
      int candidates,
      int inFlight,
      double estimatedLoad,
      double reportAgeMillis,
      double queuedMillis,
      int queueLength,
      boolean longWork,
      double medianMillis,
      WorkEstimate work) {
    this(
        rule,
        candidates,
        inFlight,
        estimatedLoad,
        reportAgeMillis,
        queuedMillis,
        queueLength,
        longWork,
        medianMillis,
        work,
        Optional.empty());
  }

  /** Returns the same reason with what is known of the call's customer. */
  PlacementReason with(Optional<CustomerExcess> newExcess) {
    return new PlacementReason(
        rule,
        candidates,
        inFlight,
        estimatedLoad,
        reportAgeMillis,
        queuedMillis,
        queueLength,
        longWork,
        medianMillis,
        work,
        newExcess);
  }

  /** Creates the reason of a refusal for a service that is not known. */
  static PlacementReason unknownService(
      PlacementRule rule, double queuedMillis, WorkEstimate work) {
    return new PlacementReason(rule, 0, 0, 0, -1, queuedMillis, 0, false, 0, work);
  }
}
