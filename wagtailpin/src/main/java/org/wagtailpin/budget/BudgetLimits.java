package org.wagtailpin.budget;

import java.util.Optional;

/** The sizes of budgets by the configuration of this entry. Called on the control loop. */
@FunctionalInterface
public interface BudgetLimits {

  /**
   * Returns the size of a budget, or empty if this entry does not know the limited object.
   *
   * @param budget the budget
   */
  Optional<BudgetLimit> of(BudgetKey budget);
}
