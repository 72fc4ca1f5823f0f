package org.wagtailpin.limits;

import com.dynatrace.hash4j.hashing.Hashing;

/**
 * A call of a customer, as far as fair sharing depends on it.
 *
 * @param service the service
 * @param priority the priority, 0 for the most urgent
 * @param customer the name of the customer
 * @param weight the weight of the customer, above 0
 * @param workMillis the time for which the call is expected to occupy a slot, in milliseconds
 */
public record CustomerWork(
    String service, int priority, String customer, double weight, double workMillis) {

  /** Returns the number by which entries name the customer to one another. */
  public int customerId() {
    return (int) Hashing.komihash5_0().hashCharsToLong(customer);
  }
}
