package org.wagtailpin.routing;

import java.util.Optional;

/**
 * The result of an attempt, from which the placement updates its estimates.
 *
 * @param outcome how the attempt ended
 * @param latencyMillis the time from dispatch to the end, in milliseconds with a fraction
 * @param load the load that the server reported with its answer, if any
 * @param bytes the size of the request body and of the received answer body, in bytes
 * @param limit what the answer stated of the requests that the server takes
 */
public record AttemptReport(
    AttemptOutcome outcome,
    double latencyMillis,
    Optional<LoadReport> load,
    long bytes,
    LimitStatement limit) {

  /**
   * Creates a report of an attempt whose body sizes are not measured; {@link #bytes} is 0, and no
   * limit is known.
   */
  public AttemptReport(AttemptOutcome outcome, double latencyMillis, Optional<LoadReport> load) {
    this(outcome, latencyMillis, load, 0, new LimitStatement.Unknown());
  }

  /** Returns the report of a grant that was cancelled before its attempt. */
  public static AttemptReport cancelled() {
    return new AttemptReport(new AttemptOutcome.Cancelled(), 0, Optional.empty());
  }

  /** Returns the report of a grant whose attempt was not sent. */
  public static AttemptReport notSent() {
    return new AttemptReport(new AttemptOutcome.NotSent(), 0, Optional.empty());
  }
}
