package org.wagtailpin.budget;

/** Counts of units. Implementations are thread-safe. */
public interface BudgetMetrics {

  /** Records units that this entry's calls were granted. */
  void granted(BudgetKind kind, double units);

  /** Records units that this entry, as a holder, borrowed from another domain. */
  void borrowed(BudgetKind kind, double units);

  /** Records units that this entry's calls were denied. */
  void denied(BudgetKind kind, double units);

  /** Records units that were granted to this entry and expired before they were used. */
  void expired(BudgetKind kind, double units);

  /** Returns metrics that are not recorded. */
  static BudgetMetrics none() {
    return new BudgetMetrics() {
      @Override
      public void granted(BudgetKind kind, double units) {}

      @Override
      public void borrowed(BudgetKind kind, double units) {}

      @Override
      public void denied(BudgetKind kind, double units) {}

      @Override
      public void expired(BudgetKind kind, double units) {}
    };
  }
}
