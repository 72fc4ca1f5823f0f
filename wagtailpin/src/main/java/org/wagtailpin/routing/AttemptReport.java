package org.wagtailpin.routing;

import java.util.Optional;

/**
 * How an attempt went, for the placement to learn from.
 *
 * @param outcome how it ended
 * @param latencyMillis the time from dispatch to the end, in milliseconds with a fraction
 * @param load the load that the server reported with its answer, if it did
 * @param bytes the bytes of the bodies of the request and of what came of the answer
 */
public record AttemptReport(
    AttemptOutcome outcome, double latencyMillis, Optional<LoadReport> load, long bytes) {

  /** Creates a report that tells nothing of bytes. */
  public AttemptReport(AttemptOutcome outcome, double latencyMillis, Optional<LoadReport> load) {
    this(outcome, latencyMillis, load, 0);
  }
}
