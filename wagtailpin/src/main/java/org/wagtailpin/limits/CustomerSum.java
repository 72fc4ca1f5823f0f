package org.wagtailpin.limits;

/**
 * The recent work of one customer for one service at one priority, in slots that the work occupies
 * or would occupy on average.
 *
 * @param customer the number of the customer, by {@link CustomerWork#customerId}
 * @param weight the weight of the customer, above 0
 * @param admitted the work that was given a server, in slots
 * @param refused the work that was refused for lack of capacity, in slots
 */
public record CustomerSum(int customer, double weight, double admitted, double refused) {

  /** Returns the work that the customer asked for, in slots. */
  public double offered() {
    return admitted + refused;
  }

  /** Returns the sum of the work of the same customer at two entries. */
  CustomerSum plus(CustomerSum other) {
    return new CustomerSum(customer, weight, admitted + other.admitted, refused + other.refused);
  }
}
