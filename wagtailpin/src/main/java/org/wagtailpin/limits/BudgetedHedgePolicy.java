package org.wagtailpin.limits;

import java.util.OptionalLong;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.HedgePolicy;

/**
 * Hedges calls that may be repeated once they take longer than nearly all of their route, out of
 * the same budget as retries.
 */
public final class BudgetedHedgePolicy implements HedgePolicy {

  private final ConfigSource config;
  private final Clock clock;
  private final RouteTimes times;
  private final RetryBudgets budgets;

  /**
   * Creates a policy.
   *
   * @param config the configuration in force
   * @param clock the clock of the deadlines
   * @param times the learnt service times
   * @param budgets the budgets, shared with the retry policy
   */
  public BudgetedHedgePolicy(
      ConfigSource config, Clock clock, RouteTimes times, RetryBudgets budgets) {
    this.config = config;
    this.clock = clock;
    this.times = times;
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
    long delay = (long) Math.ceil(factor * times.tailMillis(service, route));
    double finish = clock.millis() + delay + times.expectedMillis(service, route);
    return finish > call.deadlineMillis() ? OptionalLong.empty() : OptionalLong.of(delay);
  }

  @Override
  public boolean spend(CallDescriptor call) {
    return budgets.of(call.route().service()).spend();
  }
}
