package org.wagtailpin.limits;

import java.util.concurrent.ConcurrentHashMap;

/** The retry budget of each service, shared by retries and hedges. Safe for all threads. */
public final class RetryBudgets {

  private final ConcurrentHashMap<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  RetryBudget forService(String service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget());
  }
}
