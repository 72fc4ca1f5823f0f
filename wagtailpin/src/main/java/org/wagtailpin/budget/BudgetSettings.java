package org.wagtailpin.budget;

import java.util.Map;
import org.wagtailpin.config.Tunable;

/**
 * The bounds within which budgets are shared.
 *
 * @param domains the number of failure domains, among which each budget is divided, at least 1
 * @param windowMillis the length of the sliding window in which a budget is checked, in
 *     milliseconds
 * @param overrun by which fraction the sum of a window may exceed the budget
 * @param slack by how many units the sum of a window may exceed that
 */
public record BudgetSettings(int domains, long windowMillis, double overrun, double slack) {

  /** How many losses of all state within a window the slack covers. */
  private static final double LOSSES_IN_WINDOW = 3;

  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Returns the bounds of customers' quotas.
   *
   * @param domains the number of failure domains, at least 1
   * @param tunables the values that are not the defaults
   */
  public static BudgetSettings ofQuotas(int domains, Map<Tunable, Double> tunables) {
    return new BudgetSettings(
        domains,
        (long) (value(tunables, Tunable.QUOTA_WINDOW_SECONDS) * MILLIS_PER_SECOND),
        value(tunables, Tunable.QUOTA_OVERRUN),
        value(tunables, Tunable.QUOTA_SLACK));
  }

  private static double value(Map<Tunable, Double> tunables, Tunable tunable) {
    return tunables.getOrDefault(tunable, tunable.defaultValue());
  }

  /** Returns the rate at which the share of one domain accrues, in units per millisecond. */
  double domainPerMilli(BudgetLimit limit) {
    return limit.perSecond() / domains / MILLIS_PER_SECOND;
  }

  /** Returns how many units the share of one domain can save. */
  double domainCapacity(BudgetLimit limit) {
    return Math.max(1, limit.burst() / domains);
  }

  /** Returns how many units a holder without state has in the share of one domain. */
  double domainStart(BudgetLimit limit) {
    return Math.min(domainCapacity(limit), slack / (LOSSES_IN_WINDOW * domains));
  }

  /** Returns the most that all entries may use in any window. */
  double windowBound(BudgetLimit limit) {
    double regular = limit.perSecond() * windowMillis / MILLIS_PER_SECOND + limit.burst();
    return regular * (1 + overrun) + slack;
  }
}
