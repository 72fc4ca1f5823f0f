package org.wagtailpin.routing;

import java.util.HashMap;
import java.util.Map;
import org.wagtailpin.limits.PriorityQueues;

/**
 * How many calls of each customer a round left in a queue, by priority. Empty as long as no call
 * has had a customer, so that other queues are not counted.
 *
 * @param active whether any call has had a customer
 * @param byPriority the number of queued calls by priority and customer
 */
record QueuedCustomers(boolean active, Map<Integer, Map<String, Integer>> byPriority) {

  static QueuedCustomers none() {
    return new QueuedCustomers(false, Map.of());
  }

  /** Returns the same numbers; calls are counted from now on if this one has a customer. */
  QueuedCustomers with(QueuedCall call) {
    return active || call.call().customer().isEmpty()
        ? this
        : new QueuedCustomers(true, byPriority);
  }

  /** Returns the numbers after another round. */
  QueuedCustomers next(PriorityQueues<QueuedCall> shortWork, PriorityQueues<QueuedCall> longWork) {
    if (!active) {
      return this;
    }
    Map<Integer, Map<String, Integer>> sizes = new HashMap<>();
    shortWork.addSizesByGroup(sizes);
    longWork.addSizesByGroup(sizes);
    return new QueuedCustomers(true, sizes);
  }

  /**
   * Returns how many queued calls of its own priority go before a new call: all of its own
   * customer, and one more of each other customer that has more.
   */
  int ahead(QueuedCall call) {
    Map<String, Integer> sizes = byPriority.getOrDefault(call.priority(), Map.of());
    int own = sizes.getOrDefault(call.callerGroup(), 0);
    return sizes.values().stream().mapToInt(size -> Math.min(size, own + 1)).sum();
  }
}
