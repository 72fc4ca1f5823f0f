package org.wagtailpin.call;

import java.util.Optional;
import org.wagtailpin.error.Fault;

/**
 * An error answer that the entry generates itself in place of a backend server's answer.
 *
 * @param status the HTTP status code, 400 to 599
 * @param outcome whether the request may have been run
 * @param fault the cause
 * @param retryAfterMillis the delay for the Retry-After header, in milliseconds, empty to omit it
 */
public record Problem(int status, Outcome outcome, Fault fault, Optional<Long> retryAfterMillis) {

  /** Creates a problem without a Retry-After header. */
  public Problem(int status, Outcome outcome, Fault fault) {
    this(status, outcome, fault, Optional.empty());
  }
}
