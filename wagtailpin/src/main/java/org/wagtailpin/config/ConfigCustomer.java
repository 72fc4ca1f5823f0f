package org.wagtailpin.config;

import java.util.List;
import java.util.Optional;

/**
 * A customer, whose requests are identified by keys.
 *
 * @param name the customer's name
 * @param keys the keys, each of which identifies the customer; they are secret
 * @param priority the priority of its requests under load, 0 for the most urgent; empty for that of
 *     the route
 * @param ratePerSecond the number of requests per second that its quota allows, over all entries; 0
 *     if there is no quota
 * @param burst the number of requests that its quota allows in excess of the rate
 * @param allowedRegions the regions in which its requests may run; empty for all regions
 */
public record ConfigCustomer(
    String name,
    List<String> keys,
    Optional<Integer> priority,
    double ratePerSecond,
    double burst,
    List<String> allowedRegions)
    implements ConfigObject {

  /** Makes the lists unmodifiable. */
  public ConfigCustomer {
    keys = List.copyOf(keys);
    allowedRegions = List.copyOf(allowedRegions);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.CUSTOMER;
  }

  /** Omits the keys, which must not appear in logs. */
  @Override
  public String toString() {
    return "ConfigCustomer[name=" + name + ", keys=" + keys.size() + "]";
  }
}
