package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.config.ConfigCustomer;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.region.AllowedRegions;

/**
 * The properties of a call on which its placement depends.
 *
 * @param requestId the identifier of the call in log lines
 * @param route the route that matched
 * @param repeatable whether the work may be run more than once
 * @param callerGroup the name of the caller's group
 * @param depth how many calls led to this one, 0 for a call from outside, at most 9
 * @param deadlineMillis the time by {@link org.wagtailpin.clock.Clock#millis()} after which the
 *     answer is of no use
 * @param customer the customer whose key the call carries, empty if it carries none
 * @param regions the regions in which the call may run, by its route and its customer
 */
public record CallDescriptor(
    String requestId,
    ConfigRoute route,
    boolean repeatable,
    String callerGroup,
    int depth,
    long deadlineMillis,
    Optional<ConfigCustomer> customer,
    AllowedRegions regions) {

  /** Creates a descriptor of a call without a customer that may run where its route allows. */
  public CallDescriptor(
      String requestId,
      ConfigRoute route,
      boolean repeatable,
      String callerGroup,
      int depth,
      long deadlineMillis) {
    this(
        requestId,
        route,
        repeatable,
        callerGroup,
        depth,
        deadlineMillis,
        Optional.empty(),
        AllowedRegions.ofList(route.allowedRegions()));
  }

  /** Returns the name by which the call shares capacity with others: the customer's, if any. */
  String sharingGroup() {
    return customer.map(ConfigCustomer::name).orElse(callerGroup);
  }

  /** Returns the priority under load, 0 for the most urgent: the customer's, else the route's. */
  public int priority() {
    return customer.flatMap(ConfigCustomer::priority).orElse(route.priority());
  }
}
