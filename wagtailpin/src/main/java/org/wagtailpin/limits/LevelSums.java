package org.wagtailpin.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The recent work of all customers for one service at one priority, in slots.
 *
 * @param service the service
 * @param priority the priority, 0 for the most urgent
 * @param admitted the work of all customers that was given a server, in slots
 * @param refused the work of all customers that was refused for lack of capacity, in slots
 * @param customers how many customers have work, including those that are not listed
 * @param busiest those customers that asked for the most work, in descending order
 */
public record LevelSums(
    String service,
    int priority,
    double admitted,
    double refused,
    int customers,
    List<CustomerSum> busiest) {

  /** Refused work below this has faded, in slots. */
  private static final double MIN_REFUSED = 0.001;

  /** Creates sums with a copy of the list. */
  public LevelSums {
    busiest = List.copyOf(busiest);
  }

  /** Returns the work that all customers asked for, in slots. */
  public double offered() {
    return admitted + refused;
  }

  /** Returns whether work was refused recently. */
  boolean refuses() {
    return refused >= MIN_REFUSED;
  }

  /**
   * Returns the sums of two entries. How many customers have work at both is not known, so that the
   * number of customers is a lower bound.
   *
   * @param other the sums of the same service and priority at another entry
   */
  LevelSums plus(LevelSums other) {
    Map<Integer, CustomerSum> sums = new HashMap<>();
    busiest.forEach(sum -> sums.put(sum.customer(), sum));
    other.busiest.forEach(sum -> sums.merge(sum.customer(), sum, CustomerSum::plus));
    int known = Math.max(Math.max(customers, other.customers), sums.size());
    return new LevelSums(
        service,
        priority,
        admitted + other.admitted,
        refused + other.refused,
        known,
        sorted(sums.values()));
  }

  /**
   * Returns the same sums with fewer customers listed.
   *
   * @param count how many customers are listed at most
   */
  LevelSums limitedTo(int count) {
    return new LevelSums(
        service,
        priority,
        admitted,
        refused,
        customers,
        busiest.subList(0, Math.min(count, busiest.size())));
  }

  /** Returns sums in descending order of the work that was asked for. */
  static List<CustomerSum> sorted(Iterable<CustomerSum> sums) {
    List<CustomerSum> sorted = new ArrayList<>();
    sums.forEach(sorted::add);
    sorted.sort(Comparator.comparingDouble(CustomerSum::offered).reversed());
    return sorted;
  }
}
