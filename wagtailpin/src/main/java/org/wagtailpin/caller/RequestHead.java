package org.wagtailpin.caller;

import org.wagtailpin.call.IncomingRequest;
import org.wagtailpin.call.Problem;

/** Result of reading a request head. */
sealed interface RequestHead {

  /**
   * The head is valid.
   *
   * @param request the request as passed to admission
   */
  record Valid(IncomingRequest request) implements RequestHead {}

  /**
   * The head is malformed or not supported; the request was not run.
   *
   * @param problem the answer to send
   */
  record Invalid(Problem problem) implements RequestHead {}
}
