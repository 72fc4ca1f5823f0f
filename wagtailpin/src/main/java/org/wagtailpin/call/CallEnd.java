package org.wagtailpin.call;

import java.util.Optional;
import org.wagtailpin.error.Fault;

/**
 * How a call ended.
 *
 * @param outcome {@code answered}, {@code replayed}, {@code not-run}, {@code unknown}, {@code left}
 *     or {@code broken}
 * @param status the HTTP status code that the caller got, 0 if it got none
 * @param fault why the caller got no answer of a server, empty if it did
 * @param retryAfterMillis when the caller was told to come back, in milliseconds
 */
public record CallEnd(
    String outcome, int status, Optional<Fault> fault, Optional<Long> retryAfterMillis) {

  private static final int MIN_SERVER_ERROR_STATUS = 500;

  static CallEnd answered(int status) {
    return new CallEnd("answered", status, Optional.empty(), Optional.empty());
  }

  static CallEnd replayed(int status) {
    return new CallEnd("replayed", status, Optional.empty(), Optional.empty());
  }

  /** The caller left before an answer. */
  static CallEnd left(Optional<Fault> fault) {
    return new CallEnd("left", 0, fault, Optional.empty());
  }

  /** The answer broke off after it had begun. */
  static CallEnd broken(Optional<Fault> fault) {
    return new CallEnd("broken", 0, fault, Optional.empty());
  }

  static CallEnd withProblem(Problem problem) {
    return new CallEnd(
        problem.outcome().label(),
        problem.status(),
        Optional.of(problem.fault()),
        problem.retryAfterMillis());
  }

  /** Tells whether the caller got something other than a whole answer that is no server error. */
  boolean failed() {
    return fault.isPresent() || status == 0 || status >= MIN_SERVER_ERROR_STATUS;
  }
}
