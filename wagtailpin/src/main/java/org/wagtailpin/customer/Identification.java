package org.wagtailpin.customer;

import java.util.Optional;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.ConfigRoute;

/** Result of identifying the customer of a request. */
public sealed interface Identification {

  /**
   * The request may be run.
   *
   * @param customer the customer that owns its key; empty on a public route without a known key and
   *     in a configuration without customers
   */
  record Accepted(Optional<ConfigCustomer> customer) implements Identification {}

  /**
   * The request needs a key and carries none that is known.
   *
   * @param reason why it is refused
   */
  record Refused(KeyRefusalReason reason) implements Identification {}

  /**
   * Identifies the customer of a request.
   *
   * @param customers the customers of the configuration in force
   * @param route the route of the request
   * @param key the key that it carries
   */
  static Identification of(CustomerIndex customers, ConfigRoute route, PresentedKey key) {
    if (customers.isEmpty()) {
      return new Accepted(Optional.empty());
    }
    Optional<ConfigCustomer> customer = key.text().flatMap(customers::ofKey);
    if (customer.isPresent() || route.publicAccess()) {
      return new Accepted(customer);
    }
    if (key.missing()) {
      return new Refused(KeyRefusalReason.MISSING);
    }
    return new Refused(
        key.text().isPresent() ? KeyRefusalReason.UNKNOWN : KeyRefusalReason.AMBIGUOUS);
  }
}
