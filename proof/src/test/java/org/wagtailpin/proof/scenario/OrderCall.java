package org.wagtailpin.proof.scenario;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.Optional;
import org.wagtailpin.claims.ClaimResult;
import org.wagtailpin.claims.ClaimSettlement;

/** One request for an order at an entry, and the outcome that its caller received. */
final class OrderCall {

  static final String ANSWERED = "the answer";
  static final String NOT_RUN = "not run";
  static final String ALREADY_DISPATCHED = "already dispatched";
  static final String UNKNOWN = "outcome unknown";

  private final String order;
  private Optional<String> outcome = Optional.empty();
  private Optional<String> body = Optional.empty();
  private boolean dispatched;

  OrderCall(String order) {
    this.order = order;
  }

  String order() {
    return order;
  }

  /** Returns the outcome that the caller received, or empty while the caller waits. */
  Optional<String> outcome() {
    return outcome;
  }

  Optional<String> body() {
    return body;
  }

  /** Returns whether the server executed the order for this call, not for an earlier one. */
  boolean dispatched() {
    return dispatched;
  }

  void recordRefusal(ClaimResult result) {
    if (result instanceof ClaimResult.Replayed replayed) {
      outcome = Optional.of(ANSWERED);
      body = Optional.of(new String(replayed.answer().body(), UTF_8));
    } else {
      outcome =
          Optional.of(result instanceof ClaimResult.Unavailable ? NOT_RUN : ALREADY_DISPATCHED);
    }
  }

  void recordExecution(ClaimSettlement settlement) {
    dispatched = !(settlement instanceof ClaimSettlement.NotRun);
  }

  void recordSettlement(ClaimSettlement settlement) {
    if (settlement instanceof ClaimSettlement.Answered answered) {
      outcome = Optional.of(ANSWERED);
      body = Optional.of(new String(answered.answer().body(), UTF_8));
    } else {
      outcome = Optional.of(settlement instanceof ClaimSettlement.NotRun ? NOT_RUN : UNKNOWN);
    }
  }
}
