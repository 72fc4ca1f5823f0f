package org.wagtailpin.budget;

/**
 * A request for units, sent to the holder of a share.
 *
 * @param budget the budget
 * @param units how many units are requested
 * @param loan whether the sender holds the share of another domain and adds the units to it
 */
public record BudgetRequest(BudgetKey budget, double units, boolean loan) {}
