package org.wagtailpin.call;

import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.AttemptOutcome;

/** Labels and fault details of attempt outcomes for events and metrics. */
final class AttemptLabels {

  private AttemptLabels() {}

  static String label(AttemptOutcome outcome) {
    if (outcome instanceof AttemptOutcome.Answered) {
      return "answered";
    }
    if (outcome instanceof AttemptOutcome.NotRun) {
      return Outcome.NOT_RUN.label();
    }
    return outcome instanceof AttemptOutcome.Unknown ? Outcome.UNKNOWN.label() : "cancelled";
  }

  static String detail(AttemptOutcome outcome) {
    return outcome instanceof AttemptOutcome.Answered ? "" : fault(outcome).detail();
  }

  static Fault fault(AttemptOutcome outcome) {
    if (outcome instanceof AttemptOutcome.NotRun notRun) {
      return notRun.fault();
    }
    if (outcome instanceof AttemptOutcome.Unknown unknown) {
      return unknown.fault();
    }
    return new Fault(Step.AWAIT_ANSWER, Peer.CALLER, "", "the caller left");
  }
}
