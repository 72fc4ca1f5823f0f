package org.wagtailpin.budget;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.customer.CustomerIndex;

/** The quotas of the customers of the configuration in force. Confined to the control loop. */
public final class ConfigBudgetLimits implements BudgetLimits {

  private final ConfigSource config;
  private CustomerIndex indexed = CustomerIndex.empty();
  private Map<String, BudgetLimit> quotas = Map.of();

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
        ? Optional.ofNullable(quotas().get(budget.name()))
        : Optional.empty();
  }

  private Map<String, BudgetLimit> quotas() {
    CustomerIndex current = config.current().customers();
    if (!current.equals(indexed)) {
      Map<String, BudgetLimit> read = new HashMap<>();
      for (ConfigCustomer customer : current.all()) {
        read.put(customer.name(), new BudgetLimit(customer.ratePerSecond(), customer.burst()));
      }
      quotas = read;
      indexed = current;
    }
    return quotas;
  }
}
