package org.wagtailpin.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.wagtailpin.budget.BudgetAnswer;
import org.wagtailpin.budget.BudgetKey;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.region.AllowedRegions;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.PlacementHandle;
import org.wagtailpin.routing.PlacementListener;
import org.wagtailpin.routing.Refusal;
import org.wagtailpin.transport.HttpDialect;

/** Guards against calls that run without a unit, or that keep a slot or a unit they do not use. */
class QuotaPlacementTest {

  private static final BudgetAnswer UNAVAILABLE = new BudgetAnswer.Unavailable();

  private final ManualClock clock = new ManualClock(1_000);
  private final ManualControlLoop loop = new ManualControlLoop(clock);
  private final InOrderPlacement servers =
      new InOrderPlacement(
          List.of(
              new ConfigServer("s1", "127.0.0.1", 1, "r", "d", 6, 100, false),
              new ConfigServer("s2", "127.0.0.1", 2, "r", "d", 6, 100, false)));
  private final Deque<Consumer<BudgetAnswer>> asked = new ArrayDeque<>();
  private final List<BudgetKey> keys = new ArrayList<>();
  private final QuotaPlacement placement =
      new QuotaPlacement(
          servers,
          (budget, units, listener) -> {
            keys.add(budget);
            asked.add(listener);
          },
          clock,
          loop::schedule);
  private final List<Grant> granted = new ArrayList<>();
  private final List<Refusal> refused = new ArrayList<>();

  private PlacementHandle place(double perSecond, AttemptHistory history) {
    ConfigRoute route =
        new ConfigRoute(
            "all",
            Optional.empty(),
            "/",
            Set.of(),
            "work",
            Optional.empty(),
            10_000,
            IdempotencyKeyRule.IGNORED,
            false);
    Optional<ConfigCustomer> customer =
        perSecond < 0
            ? Optional.empty()
            : Optional.of(
                new ConfigCustomer("c", List.of(), Optional.empty(), perSecond, 5, List.of()));
    CallDescriptor call =
        new CallDescriptor(
            "r",
            route,
            true,
            "g",
            0,
            clock.millis() + 5_000,
            customer,
            AllowedRegions.everywhere());
    return placement.request(
        call,
        history,
        new PlacementListener() {
          @Override
          public void granted(Grant grant) {
            granted.add(grant);
          }

          @Override
          public void refused(Refusal refusal) {
            refused.add(refusal);
          }
        });
  }

  private void assertSlotReleasedUnused() {
    assertThat(servers.reports()).hasSize(1);
    assertThat(servers.reports().get(0).outcome()).isInstanceOf(AttemptOutcome.NotSent.class);
  }

  @Test
  void callsWithoutCustomerOrQuotaAskForNothing() {
    place(-1, AttemptHistory.none());
    place(0, AttemptHistory.none());
    assertThat(granted).hasSize(2);
    assertThat(keys).isEmpty();
  }

  @Test
  void eachAttemptTakesAUnitOnceAServerIsSelected() {
    place(8, AttemptHistory.none());
    assertThat(granted).isEmpty();
    asked.remove().accept(new BudgetAnswer.Granted(clock.exactMillis() + 250));
    assertThat(granted.get(0).usable()).isTrue();
    place(8, AttemptHistory.none().with("s1"));
    assertThat(keys).hasSize(2);
    place(8, AttemptHistory.none().with("s1").with("s2"));
    assertThat(keys).hasSize(2);
  }

  @Test
  void aGrantWhoseUnitHasExpiredIsNotUsable() {
    place(8, AttemptHistory.none());
    asked.remove().accept(new BudgetAnswer.Granted(clock.exactMillis() + 250));
    clock.advance(251);
    assertThat(granted.get(0).usable()).isFalse();
  }

  /** Guards against calls with a quota for which silent servers are not noticed. */
  @Test
  void theSilenceOfAServerIsReportedThroughTheGrant() {
    servers.silenceMillis(70);
    place(8, AttemptHistory.none());
    asked.remove().accept(new BudgetAnswer.Granted(clock.exactMillis() + 250));
    granted.get(0).unanswered();
    assertThat(granted.get(0).silenceMillis()).isEqualTo(70);
    assertThat(servers.unansweredServers()).containsExactly("s1");
  }

  @Test
  void aDenialEndsTheCallAndThoseThatFollowShortlyAfter() {
    place(8, AttemptHistory.none());
    asked.remove().accept(new BudgetAnswer.Denied(400));
    assertSlotReleasedUnused();
    place(8, AttemptHistory.none());
    assertThat(asked).isEmpty();
    assertThat(refused).hasSize(2);
    assertThat(refused.get(1).retryAfterMillis()).isEqualTo(400);
    Problem problem =
        new CallProblems(CallSettings.defaults(), HttpDialect.standard())
            .refused(false, Optional.empty(), refused.get(0));
    assertThat(problem.status()).isEqualTo(429);
    assertThat(problem.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(problem.retryAfterMillis()).hasValue(400L);
    clock.advance(101);
    place(8, AttemptHistory.none());
    assertThat(asked).hasSize(1);
  }

  @Test
  void aDeniedRetryOfACallThatMayHaveRunDoesNotClaimThatItDidNot() {
    Fault fault = new Fault(Step.AWAIT_ANSWER, Peer.BACKEND_SERVER, "s1", "closed");
    Problem problem =
        new CallProblems(CallSettings.defaults(), HttpDialect.standard())
            .refused(true, Optional.of(fault), new Refusal(fault, 400, true));
    assertThat(problem.status()).isEqualTo(502);
    assertThat(problem.outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void withoutAnyHolderACallIsRefusedWithoutTheQuotaAsReason() {
    place(8, AttemptHistory.none());
    int requests = 0;
    while (!asked.isEmpty()) {
      asked.remove().accept(UNAVAILABLE);
      requests++;
      loop.advance(50);
    }
    assertThat(requests).isGreaterThan(1);
    assertThat(refused).hasSize(1);
    assertThat(refused.get(0).overQuota()).isFalse();
    assertSlotReleasedUnused();
  }

  @Test
  void aWithdrawnCallGivesItsSlotBackWhenTheUnitComes() {
    place(8, AttemptHistory.none()).withdraw();
    asked.remove().accept(new BudgetAnswer.Granted(clock.exactMillis() + 250));
    assertThat(granted).isEmpty();
    assertSlotReleasedUnused();
  }
}
