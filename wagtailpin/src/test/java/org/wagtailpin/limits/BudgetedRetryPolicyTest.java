package org.wagtailpin.limits;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigLimit;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.RetryDecision;
import org.wagtailpin.routing.SharedRandom;

class BudgetedRetryPolicyTest {

  private static final Fault FAULT = new Fault(Step.CONNECT, Peer.BACKEND_SERVER, "s", "broken");
  private static final AttemptOutcome UNKNOWN = new AttemptOutcome.Unknown(FAULT);
  private static final AttemptOutcome NOT_RUN = new AttemptOutcome.NotRun(FAULT);
  private static final AttemptHistory ONCE = AttemptHistory.none().with("s0");

  private final ManualClock clock = new ManualClock(1000);
  private final ConfigSnapshot snapshot =
      new ConfigSnapshot(
          1,
          List.of(
              new ConfigLimit(
                  "retries",
                  Optional.empty(),
                  Map.of(Tunable.RETRY_SHARE, 0.1, Tunable.RETRY_BURST, 10.0))));
  private final RouteStatistics statistics = new RouteStatistics(clock);
  private final RetryBudgets budgets = new RetryBudgets();
  private final BudgetedHedgePolicy hedges =
      new BudgetedHedgePolicy(() -> snapshot, clock, statistics, budgets);
  private final BudgetedRetryPolicy policy =
      new BudgetedRetryPolicy(() -> snapshot, clock, statistics, budgets, new SharedRandom(3));

  private CallDescriptor call(boolean repeatable, int depth, long deadlineMillis) {
    ConfigRoute route =
        new ConfigRoute(
            "route",
            Optional.empty(),
            "/",
            Set.of(),
            "service",
            Optional.of(repeatable),
            1000,
            IdempotencyKeyRule.IGNORED,
            false);
    return new CallDescriptor(
        "r", route, repeatable, "group", depth, clock.millis() + deadlineMillis);
  }

  private void earn(int retries) {
    for (int i = 0; i < retries * 10; i++) {
      policy.firstAttempt(call(true, 0, 1000));
    }
  }

  private RetryDecision decide(CallDescriptor call, AttemptOutcome outcome) {
    return policy.decide(call, ONCE, outcome);
  }

  @Test
  void retriesStayWithinTheirShareOfFirstAttempts() {
    int retried = 0;
    for (int i = 0; i < 1000; i++) {
      CallDescriptor call = call(true, 0, 1000);
      policy.firstAttempt(call);
      if (decide(call, UNKNOWN).retry()) {
        retried++;
      }
    }

    assertThat(retried).isAtMost(100);
    assertThat(retried).isAtLeast(95);
  }

  @Test
  void aCallOfARouteWithoutAnswersIsRetriedWhateverTheOtherRoutesOfItsServiceTake() {
    statistics.recordServiceTime("service", "other", 600);
    earn(1);

    assertThat(decide(call(true, 0, 500), NOT_RUN).retry()).isTrue();
  }

  @Test
  void aCallIsNotRetriedIfItsRouteIsKnownToTakeLongerThanIsLeft() {
    statistics.recordServiceTime("service", "route", 600);
    earn(1);

    assertThat(decide(call(true, 0, 500), NOT_RUN).rule()).isEqualTo("deadline");
  }

  @Test
  void workThatMayNotBeRepeatedIsRetriedOnlyWithProofThatItDidNotRun() {
    earn(5);

    assertThat(decide(call(false, 0, 1000), UNKNOWN).rule()).isEqualTo("may-have-run");
    assertThat(decide(call(false, 0, 1000), NOT_RUN).retry()).isTrue();
  }

  @Test
  void onlyTheOutermostLevelOfADeepCallRetries() {
    earn(5);

    assertThat(decide(call(true, 3, 1000), UNKNOWN).retry()).isFalse();
    assertThat(decide(call(true, 0, 1000), UNKNOWN).retry()).isTrue();
  }

  @Test
  void thereIsNoRetryWhenItsDeadlineCannotBeMet() {
    earn(5);

    assertThat(decide(call(true, 0, 10), UNKNOWN).rule()).isEqualTo("deadline");
  }

  @Test
  void aCallMakesNoMoreThanTheMaximumAttempts() {
    earn(5);
    AttemptHistory thrice = ONCE.with("s1").with("s2");

    assertThat(policy.decide(call(true, 0, 1000), thrice, UNKNOWN).rule())
        .isEqualTo("attempts-spent");
  }

  @Test
  void anAnswerIsNeverRetried() {
    earn(5);

    assertThat(decide(call(true, 0, 1000), new AttemptOutcome.Answered(500)).retry()).isFalse();
  }

  @Test
  void hedgesWaitForTheMeasuredPercentileOfTheRoute() {
    for (int i = 0; i < 4000; i++) {
      statistics.recordServiceTime("service", "route", i % 100);
    }

    assertThat(hedges.delayMillis(call(true, 0, 1000)).getAsLong()).isAtLeast(80);
    assertThat(hedges.delayMillis(call(true, 0, 1000)).getAsLong()).isAtMost(120);
  }

  @Test
  void workThatMayNotBeRepeatedIsNeverHedged() {
    assertThat(hedges.delayMillis(call(false, 0, 1000)).isPresent()).isFalse();
  }

  @Test
  void aCallWhoseHedgeCannotMeetTheDeadlineGetsNone() {
    assertThat(hedges.delayMillis(call(true, 0, 25)).isPresent()).isFalse();
  }

  @Test
  void hedgesAndRetriesSpendOneBudget() {
    earn(1);

    assertThat(hedges.spend(call(true, 0, 1000))).isTrue();
    assertThat(decide(call(true, 0, 1000), UNKNOWN).rule()).isEqualTo("budget-spent");
  }
}
