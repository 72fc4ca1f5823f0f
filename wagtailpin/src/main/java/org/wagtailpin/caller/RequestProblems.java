package org.wagtailpin.caller;

import java.util.Optional;
import org.wagtailpin.call.Outcome;
import org.wagtailpin.call.Problem;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/** Problems for requests that cannot be read, and for requests refused during shutdown. */
final class RequestProblems {

  static final int BAD_REQUEST = 400;
  static final int REQUEST_TIMEOUT = 408;
  static final int CONTENT_TOO_LARGE = 413;
  private static final int SERVICE_UNAVAILABLE = 503;

  private RequestProblems() {}

  static Problem bodyTooLong() {
    return unread(CONTENT_TOO_LARGE, "the request's body is too long");
  }

  static Problem headTooLate() {
    return unread(REQUEST_TIMEOUT, "the request's head did not end in time");
  }

  /**
   * Returns the problem of a request whose deadline lies after the end of the drain.
   *
   * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
   */
  static Problem leaving(long retryAfterMillis) {
    Fault fault =
        new Fault(Step.ADMIT, Peer.SELF, "", "the entry leaves before the request's deadline");
    return new Problem(SERVICE_UNAVAILABLE, Outcome.NOT_RUN, fault, Optional.of(retryAfterMillis));
  }

  private static Problem unread(int status, String detail) {
    return new Problem(status, Outcome.NOT_RUN, fault(detail));
  }

  static Fault fault(String detail) {
    return new Fault(Step.READ_REQUEST, Peer.CALLER, "", detail);
  }
}
