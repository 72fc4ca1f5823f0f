package org.wagtailpin.caller;

import java.util.Optional;
import org.wagtailpin.call.Outcome;
import org.wagtailpin.call.Problem;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;

/** The answers to requests that can't be read, and to those that come too late to be served. */
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
   * Answers a request that could outlast this process.
   *
   * @param retryAfterMillis when the caller may come back, to another entry
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
