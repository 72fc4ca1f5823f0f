package org.wagtailpin.call;

import java.util.Optional;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.Refusal;
import org.wagtailpin.transport.HttpDialect;

/** Creates the problems with which calls are answered, by whether the request may have run. */
final class CallProblems {

  /** Status of a request that needs a customer's key and carries none that is known. */
  static final int UNAUTHORIZED = 401;

  private static final int TOO_MANY_REQUESTS = 429;
  private static final int BAD_GATEWAY = 502;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  private final CallSettings settings;
  private final HttpDialect dialect;

  CallProblems(CallSettings settings, HttpDialect dialect) {
    this.settings = settings;
    this.dialect = dialect;
  }

  /** Returns the fault of a call whose deadline has passed. */
  static Fault deadlineFault(Optional<Attempt> attempt, boolean awaitsServer) {
    if (attempt.isPresent()) {
      String server = attempt.get().grant().server().name();
      return new Fault(Step.AWAIT_ANSWER, Peer.BACKEND_SERVER, server, "the deadline passed");
    }
    Step step = awaitsServer ? Step.PICK_SERVER : Step.ADMIT;
    return new Fault(step, Peer.SELF, "", "the deadline passed");
  }

  static Outcome outcome(boolean mayHaveRun) {
    return mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  /**
   * Returns the problem of a call whose request could not be read to its end. A status by which
   * callers recognize a request that was not run is kept only if that is proved.
   */
  Problem unread(int status, boolean mayHaveRun, Fault fault) {
    return mayHaveRun && dialect.notRunStatuses().contains(status)
        ? failed(true, fault)
        : of(status, outcome(mayHaveRun), fault);
  }

  /** Returns the problem of a call whose attempts failed or that got no server. */
  Problem failed(boolean mayHaveRun, Fault fault) {
    return of(mayHaveRun ? BAD_GATEWAY : SERVICE_UNAVAILABLE, outcome(mayHaveRun), fault);
  }

  /**
   * Returns the problem of a call whose key is not known any more. If an earlier attempt may have
   * run, the answer must not state that the request was not.
   */
  Problem keyRemoved(boolean mayHaveRun, Fault fault) {
    return mayHaveRun ? failed(true, fault) : of(UNAUTHORIZED, Outcome.NOT_RUN, fault);
  }

  /**
   * Returns the problem of a call that placement refused. The cause is the failure of the attempt
   * before, if there was one, unless the quota is the reason for the refusal.
   */
  Problem refused(boolean mayHaveRun, Optional<Fault> lastFault, Refusal refusal) {
    if (refusal.overQuota() && !mayHaveRun) {
      return new Problem(
          TOO_MANY_REQUESTS,
          Outcome.NOT_RUN,
          refusal.fault(),
          Optional.of(refusal.retryAfterMillis()));
    }
    Problem problem = failed(mayHaveRun, lastFault.orElse(refusal.fault()));
    return problem.retryAfterMillis().isEmpty()
        ? problem
        : new Problem(
            problem.status(),
            problem.outcome(),
            problem.fault(),
            Optional.of(refusal.retryAfterMillis()));
  }

  /**
   * Returns the problem of a call whose deadline has passed. In a dialect whose callers recognize a
   * request that was not run by the status code 503 alone, such a request must not get a 504, which
   * these callers take for an unknown outcome.
   */
  Problem expired(boolean mayHaveRun, Fault fault) {
    boolean statusMeansNotRun = dialect.notRunStatuses().contains(SERVICE_UNAVAILABLE);
    int status = statusMeansNotRun && !mayHaveRun ? SERVICE_UNAVAILABLE : GATEWAY_TIMEOUT;
    return of(status, outcome(mayHaveRun), fault);
  }

  /** Returns a problem with the given status; a 503 carries the retry delay. */
  Problem of(int status, Outcome outcome, Fault fault) {
    Optional<Long> retryAfterMillis =
        status == SERVICE_UNAVAILABLE ? Optional.of(settings.retryAfterMillis()) : Optional.empty();
    return new Problem(status, outcome, fault, retryAfterMillis);
  }
}
