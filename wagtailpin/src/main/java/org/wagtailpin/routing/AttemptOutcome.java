package org.wagtailpin.routing;

import org.wagtailpin.error.Fault;

/** How an attempt on a backend server ended. */
public sealed interface AttemptOutcome {

  /**
   * The server answered with a whole answer.
   *
   * @param status the HTTP status code
   */
  record Answered(int status) implements AttemptOutcome {}

  /**
   * It is proved that the server did not run the request.
   *
   * @param fault the proof
   */
  record NotRun(Fault fault) implements AttemptOutcome {}

  /**
   * Whether the server ran the request is not known.
   *
   * @param fault what happened
   */
  record Unknown(Fault fault) implements AttemptOutcome {}

  /** The caller left or the attempt was one of two and lost; it may have run. */
  record Cancelled() implements AttemptOutcome {}
}
