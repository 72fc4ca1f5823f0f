package org.wagtailpin.call;

import java.util.Optional;
import org.wagtailpin.error.Fault;

/**
 * An answer that an entry makes itself.
 *
 * @param status the HTTP status code, 400 to 599
 * @param outcome what is known of the request
 * @param fault why there is no other answer
 * @param retryAfterMillis when the caller may come back, in milliseconds, empty if nothing is said
 */
public record Problem(int status, Outcome outcome, Fault fault, Optional<Long> retryAfterMillis) {

  /** Creates a problem that does not say when to come back. */
  public Problem(int status, Outcome outcome, Fault fault) {
    this(status, outcome, fault, Optional.empty());
  }
}
