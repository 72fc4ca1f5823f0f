package org.wagtailpin.budget;

import java.util.function.Consumer;

/** Grants units of budgets that all entries share. Implementations are thread-safe. */
public interface SharedBudgets {

  /**
   * Requests units of a budget. Does not block.
   *
   * @param budget the budget
   * @param units how many units are needed, at least 1
   * @param listener called exactly once with the answer, on any thread, possibly before this method
   *     returns
   */
  void request(BudgetKey budget, int units, Consumer<BudgetAnswer> listener);
}
