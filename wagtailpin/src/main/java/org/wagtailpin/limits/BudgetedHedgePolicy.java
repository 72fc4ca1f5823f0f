package org.wagtailpin.limits;

import java.util.OptionalLong;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.HedgePolicy;

/**
 * Hedges repeatable calls once they take longer than nearly all calls of their route, within the
 * same budget as retries.
 */
public final class BudgetedHedgePolicy implements HedgePolicy {

  private final ConfigSource config;
  private final Clock clock;
  private final RouteStatistics statistics;
  private final RetryBudgets budgets;

  /**
   * Creates a policy.
   *
   * @param config the configuration in force
   * @param clock the clock of the call deadlines
   * @param statistics the measured service times
   * @param budgets the budgets, shared with the retry policy
   */
  public BudgetedHedgePolicy(
      ConfigSource config, Clock clock, RouteStatistics statistics, RetryBudgets budgets) {
    this.config = config;
    this.clock = clock;
    this.statistics = statistics;
    this.budgets = budgets;
  }

  @Override
  public OptionalLong delayMillis(CallDescriptor call) {
    if (!call.repeatable() || call.depth() > 0) {
      return OptionalLong.empty();
    }
    String service = call.route().service();
    String route = call.route().name();
    double factor = config.current().tunable(Tunable.HEDGE_DELAY, service);
    long delay = (long) Math.ceil(factor * statistics.tailMillis(service, route));
    double hedgeEndMillis = clock.millis() + delay + statistics.expectedMillis(service, route);
    return hedgeEndMillis > call.deadlineMillis() ? OptionalLong.empty() : OptionalLong.of(delay);
  }

  @Override
  public boolean spend(CallDescriptor call) {
    return budgets.forService(call.route().service()).spend();
  }
}
