package org.wagtailpin.budget;

/**
 * Identifies a budget.
 *
 * @param kind what the budget limits
 * @param name the name of the limited object, such as a customer or a server
 */
public record BudgetKey(BudgetKind kind, String name) {

  /** Returns the key of a customer's quota. */
  public static BudgetKey customerQuota(String customer) {
    return new BudgetKey(BudgetKind.CUSTOMER_QUOTA, customer);
  }
}
