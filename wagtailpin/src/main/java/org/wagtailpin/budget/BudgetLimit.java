package org.wagtailpin.budget;

/**
 * The size of a budget.
 *
 * @param perSecond the units per second that all entries may use together; 0 for no limit
 * @param burst the units that may be used at once beyond that rate, at least 0
 */
public record BudgetLimit(double perSecond, double burst) {

  /** Returns whether any number of units may be used. */
  public boolean unlimited() {
    return perSecond <= 0;
  }
}
