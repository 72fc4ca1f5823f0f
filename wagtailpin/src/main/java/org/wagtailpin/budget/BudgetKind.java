package org.wagtailpin.budget;

import java.util.Locale;

/** What a budget limits. */
public enum BudgetKind {
  /** The requests of a customer. */
  CUSTOMER_QUOTA,
  /** The requests to a server that names a limit. */
  SERVER_LIMIT,
  /** The requests to a server that has just started. */
  COLD_SERVER;

  /** Returns the name used in metrics and log lines. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
