package org.wagtailpin.budget;

/** Answer to a request for units of a budget. */
public sealed interface BudgetAnswer {

  /**
   * The units may be used.
   *
   * @param usableUntilMillis the time by {@link org.wagtailpin.clock.Clock#exactMillis()} of the
   *     requesting entry after which they must not be used
   */
  record Granted(double usableUntilMillis) implements BudgetAnswer {}

  /**
   * The budget is exhausted.
   *
   * @param retryAfterMillis after how long units may be available, in milliseconds, at least 1
   */
  record Denied(long retryAfterMillis) implements BudgetAnswer {}

  /** No holder of the budget answered, so it is not known whether units are available. */
  record Unavailable() implements BudgetAnswer {}
}
