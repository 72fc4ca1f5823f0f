package org.wagtailpin.routing;

import org.wagtailpin.error.Fault;

/** How an attempt on a backend server ended. */
public sealed interface AttemptOutcome {

  /** Returns whether the server may still run the request. */
  default boolean mayStillRun() {
    return this instanceof Unknown || this instanceof Cancelled;
  }

  /**
   * The server sent a complete answer.
   *
   * @param status the HTTP status code
   */
  record Answered(int status) implements AttemptOutcome {}

  /**
   * The server provably did not run the request.
   *
   * @param fault the failure that proves it
   */
  record NotRun(Fault fault) implements AttemptOutcome {}

  /**
   * It is unknown whether the server ran the request.
   *
   * @param fault the failure of the attempt
   */
  record Unknown(Fault fault) implements AttemptOutcome {}

  /**
   * The caller disconnected, or the other attempt of a hedged call answered first. The server may
   * have run the request.
   */
  record Cancelled() implements AttemptOutcome {}

  /** The attempt was not sent, so it states nothing about the server. */
  record NotSent() implements AttemptOutcome {}
}
