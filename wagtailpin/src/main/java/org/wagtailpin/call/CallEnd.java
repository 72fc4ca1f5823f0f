package org.wagtailpin.call;

import java.util.Optional;
import org.wagtailpin.error.Fault;

/**
 * The result of a call, as recorded in events and metrics.
 *
 * @param outcome {@code answered}, {@code replayed}, {@code not-run}, {@code unknown}, {@code left}
 *     (the caller disconnected) or {@code broken} (the answer was aborted)
 * @param status the HTTP status code sent to the caller, 0 if there was no complete answer
 * @param fault why the caller got no backend server's answer, empty if it got one
 * @param retryAfterMillis the retry delay sent to the caller, in milliseconds, empty if none
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

  /** The caller disconnected before the call ended. */
  static CallEnd left(Optional<Fault> fault) {
    return new CallEnd("left", 0, fault, Optional.empty());
  }

  /** The answer was aborted after it had begun. */
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

  /** Returns whether the caller got no complete answer, or one with a 5xx status. */
  boolean failed() {
    return fault.isPresent() || status == 0 || status >= MIN_SERVER_ERROR_STATUS;
  }
}
