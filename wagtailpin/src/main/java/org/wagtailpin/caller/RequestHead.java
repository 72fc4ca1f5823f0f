package org.wagtailpin.caller;

import org.wagtailpin.call.IncomingRequest;
import org.wagtailpin.call.Problem;

/** What became of a request's head. */
sealed interface RequestHead {

  /**
   * The head is sound.
   *
   * @param request what it asks for
   */
  record Valid(IncomingRequest request) implements RequestHead {}

  /**
   * The head can't be used; the request was not run.
   *
   * @param problem the answer
   */
  record Invalid(Problem problem) implements RequestHead {}
}
