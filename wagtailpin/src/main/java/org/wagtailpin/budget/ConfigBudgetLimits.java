package org.wagtailpin.budget;

import java.util.Optional;
import org.wagtailpin.config.ConfigSource;

/** The quotas of the customers of the configuration in force. Thread-safe. */
public final class ConfigBudgetLimits implements BudgetLimits {

  private final ConfigSource config;

  /**
   * Creates limits that follow a configuration.
   *
   * @param config the source of the configuration
   */
  public ConfigBudgetLimits(ConfigSource config) {
    this.config = config;
  }

  @Override
  public Optional<BudgetLimit> of(BudgetKey budget) {
    return budget.kind() == BudgetKind.CUSTOMER_QUOTA
        ? config
            .current()
            .customers()
            .ofName(budget.name())
            .map(customer -> new BudgetLimit(customer.ratePerSecond(), customer.burst()))
        : Optional.empty();
  }
}
