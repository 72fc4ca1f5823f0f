package org.wagtailpin.call;

import java.util.Optional;
import org.wagtailpin.error.Fault;
import org.wagtailpin.transport.HttpDialect;

/** The answers that an entry makes itself in place of a server's, by what is known of the work. */
final class CallProblems {

  private static final int BAD_GATEWAY = 502;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final CallSettings settings;
  private final HttpDialect dialect;

  CallProblems(CallSettings settings, HttpDialect dialect) {
    this.settings = settings;
    this.dialect = dialect;
  }

  static Outcome outcome(boolean mayHaveRun) {
    return mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  /** Answers a call that got no whole answer of a server, and is not sent again. */
  Problem failed(boolean mayHaveRun, Fault fault) {
    return of(mayHaveRun ? BAD_GATEWAY : SERVICE_UNAVAILABLE, outcome(mayHaveRun), fault);
  }

  /**
   * Answers a call whose deadline has passed. Where callers read statuses only, a request that was
   * not run must not be told as unknown.
   */
  Problem expired(boolean mayHaveRun, Fault fault) {
    boolean statusMeansNotRun = dialect.notRunStatuses().contains(SERVICE_UNAVAILABLE);
    int status = statusMeansNotRun && !mayHaveRun ? SERVICE_UNAVAILABLE : GATEWAY_TIMEOUT;
    return of(status, outcome(mayHaveRun), fault);
  }

  /**
   * Answers with a status; one that promises that the request was not run tells when to come back.
   */
  Problem of(int status, Outcome outcome, Fault fault) {
    Optional<Long> retryAfterMillis =
        status == SERVICE_UNAVAILABLE ? Optional.of(settings.retryAfterMillis()) : Optional.empty();
    return new Problem(status, outcome, fault, retryAfterMillis);
  }
}
