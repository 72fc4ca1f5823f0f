package org.wagtailpin.routing;

import java.util.Optional;

/**
 * The result of an attempt, from which the placement updates its estimates.
 *
 * @param outcome how the attempt ended
 * @param latencyMillis the time from dispatch to the end, in milliseconds with a fraction
 * @param load the load that the server reported with its answer, if any
 * @param bytes the size of the request body and of the received answer body, in bytes
 */
public record AttemptReport(
    AttemptOutcome outcome, double latencyMillis, Optional<LoadReport> load, long bytes) {

  /** Creates a report of an attempt whose body sizes are not measured; {@link #bytes} is 0. */
  public AttemptReport(AttemptOutcome outcome, double latencyMillis, Optional<LoadReport> load) {
    this(outcome, latencyMillis, load, 0);
  }
}
