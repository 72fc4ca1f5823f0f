package org.wagtailpin.limits;

import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.membership.FullShares;
import org.wagtailpin.membership.LimitShares;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.RetryDecision;
import org.wagtailpin.routing.RetryPolicy;

/**
 * Retries within a budget for each service.
 *
 * <p>A call is retried only if its work is repeatable or provably did not run, only at the
 * outermost level of a chain of calls, and only if its deadline can still be met.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {

  private final ConfigSource config;
  private final Clock clock;
  private final RouteStatistics statistics;
  private final UniformRandomProvider random;
  private final RetryBudgets budgets;
  private final LimitShares shares;

  /**
   * Creates a policy for an entry without peers, which may use all of each limit.
   *
   * @param config the configuration in force
   * @param clock the clock of the call deadlines
   * @param statistics the measured service times
   * @param budgets the budgets, shared with the hedge policy
   * @param random the source of the jitter, safe for all threads
   */
  public BudgetedRetryPolicy(
      ConfigSource config,
      Clock clock,
      RouteStatistics statistics,
      RetryBudgets budgets,
      UniformRandomProvider random) {
    this(config, clock, statistics, budgets, new FullShares(), random);
  }

  /**
   * Creates a policy.
   *
   * @param config the configuration in force
   * @param clock the clock of the call deadlines
   * @param statistics the measured service times
   * @param budgets the budgets, shared with the hedge policy
   * @param shares this entry's share of the retries that all entries together may save up
   * @param random the source of the jitter, safe for all threads
   */
  public BudgetedRetryPolicy(
      ConfigSource config,
      Clock clock,
      RouteStatistics statistics,
      RetryBudgets budgets,
      LimitShares shares,
      UniformRandomProvider random) {
    this.config = config;
    this.clock = clock;
    this.statistics = statistics;
    this.budgets = budgets;
    this.shares = shares;
    this.random = random;
  }

  @Override
  public void firstAttempt(CallDescriptor call) {
    ConfigSnapshot snapshot = config.current();
    String service = call.route().service();
    budget(service)
        .earn(snapshot.tunable(Tunable.RETRY_SHARE, service), maxSavedRetries(snapshot, service));
  }

  private double maxSavedRetries(ConfigSnapshot snapshot, String service) {
    double fleetBurst = snapshot.tunable(Tunable.FLEET_RETRY_BURST, service);
    return fleetBurst > 0
        ? Math.max(1, shares.share(fleetBurst))
        : snapshot.tunable(Tunable.RETRY_BURST, service);
  }

  @Override
  public RetryDecision decide(CallDescriptor call, AttemptHistory history, AttemptOutcome outcome) {
    if (outcome instanceof AttemptOutcome.Answered) {
      return RetryDecision.no("answered");
    }
    if (outcome instanceof AttemptOutcome.Cancelled) {
      return RetryDecision.no("cancelled");
    }
    if (!call.repeatable() && !(outcome instanceof AttemptOutcome.NotRun)) {
      return RetryDecision.no("may-have-run");
    }
    if (call.depth() > 0) {
      return RetryDecision.no("outer-level-retries");
    }
    return decideWithinLimits(call, history, outcome);
  }

  private RetryDecision decideWithinLimits(
      CallDescriptor call, AttemptHistory history, AttemptOutcome outcome) {
    ConfigSnapshot snapshot = config.current();
    String service = call.route().service();
    double attemptLimit =
        call.route()
            .maxAttempts()
            .map(Integer::doubleValue)
            .orElseGet(() -> snapshot.tunable(Tunable.MAX_ATTEMPTS, service));
    if (history.attempts() >= attemptLimit) {
      return RetryDecision.no("attempts-spent");
    }
    boolean immediate = outcome instanceof AttemptOutcome.NotRun && history.attempts() <= 1;
    long delayMillis = immediate ? 0 : backoffMillis(snapshot, service, history.attempts());
    double serviceMillis =
        statistics.measuredMillis(call.route().name()).orElse(RouteStatistics.DEFAULT_MILLIS);
    if (clock.millis() + delayMillis + serviceMillis > call.deadlineMillis()) {
      return RetryDecision.no("deadline");
    }
    if (!budget(service).spend()) {
      return RetryDecision.no("budget-spent");
    }
    return new RetryDecision(true, "retry", delayMillis);
  }

  private long backoffMillis(ConfigSnapshot snapshot, String service, int attempts) {
    double baseMillis = snapshot.tunable(Tunable.RETRY_BACKOFF_MILLIS, service);
    double maxMillis = baseMillis * (1L << Math.min(attempts, 10));
    return (long) (maxMillis * random.nextDouble());
  }

  private RetryBudget budget(String service) {
    return budgets.forService(service);
  }
}
