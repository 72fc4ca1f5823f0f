package org.wagtailpin.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Divides the capacity of an overloaded service: over priorities, the most urgent first, and within
 * a priority max-min fair over customers by their weights.
 *
 * <p>A service is overloaded while a part of its work is refused. Its capacity is then what it
 * admits. Of the capacity, less urgent priorities together keep {@link #LESS_URGENT_SHARE}, unless
 * a less urgent priority would then be served at a higher rate than a more urgent one. A customer
 * that asks for less than an even share of its priority's capacity is given all that it asks for.
 */
final class CapacityShares {

  /** The part of a service's capacity that is kept for all but its most urgent priority. */
  static final double LESS_URGENT_SHARE = 1.0 / (PriorityQueues.MAX_PASSED_OVER + 1);

  /** The part of the work from which on a service counts as overloaded when it is refused. */
  static final double OVERLOAD_REFUSED_SHARE = 0.02;

  /**
   * The capacity relative to the admitted work. Above 1, as slots are idle for a moment between two
   * calls. With 1.0, callers that retry at once found those slots (0.622 of a flood served, against
   * 0.562 of patient callers); with 1.2 and without a watcher, up to 0.070 of the calls of other
   * customers were not served (the service of {@code ContendedLoadTest}, 6 seeds).
   */
  static final double HEADROOM = 1.1;

  /** The rate above which a priority or a customer counts as served in full. */
  private static final double FULL = 0.999;

  /**
   * The share of a customer that asks for more than its share.
   *
   * @param offered the work that it asks for, in slots
   * @param share the work that it may have, in slots
   */
  record Share(double offered, double share) {}

  /** A customer, or equal customers that are not listed one by one. */
  private record Claim(Optional<CustomerSum> customer, double weight, double offered) {

    double perWeight() {
      return offered / weight;
    }
  }

  /** The shares of the customers that ask for more, by priority and by the customer's number. */
  private final Map<Integer, Map<Integer, Share>> excessive = new HashMap<>();

  /**
   * Divides the capacity of a service.
   *
   * @param levels the work of each priority
   */
  CapacityShares(List<LevelSums> levels) {
    List<LevelSums> ordered =
        levels.stream().sorted(Comparator.comparingInt(LevelSums::priority)).toList();
    if (!overloaded(ordered)) {
      return;
    }
    double[] capacities = divide(ordered);
    for (int i = 0; i < capacities.length; i++) {
      LevelSums level = ordered.get(i);
      if (capacities[i] < FULL * level.offered()) {
        excessive.put(level.priority(), fill(level, capacities[i]));
      }
    }
  }

  private static boolean overloaded(List<LevelSums> levels) {
    double refused = levels.stream().mapToDouble(LevelSums::refused).sum();
    return refused > OVERLOAD_REFUSED_SHARE * total(levels);
  }

  private static double total(List<LevelSums> levels) {
    return levels.stream().mapToDouble(LevelSums::offered).sum();
  }

  /** Returns the capacity of each priority, in slots. */
  private static double[] divide(List<LevelSums> levels) {
    double capacity = HEADROOM * levels.stream().mapToDouble(LevelSums::admitted).sum();
    double evenRate = capacity / total(levels);
    double floorOfEach = LESS_URGENT_SHARE * capacity / Math.max(1, levels.size() - 1);
    double[] granted = new double[levels.size()];
    double left = capacity;
    for (int i = 1; i < granted.length; i++) {
      granted[i] = Math.min(floorOfEach, evenRate * levels.get(i).offered());
      left -= granted[i];
    }
    left = grant(levels, granted, left);
    // A floor does not serve a small priority at a higher rate than a more urgent one.
    for (int i = 1; i < granted.length; i++) {
      double rateBefore = granted[i - 1] / levels.get(i - 1).offered();
      double most = Math.min(granted[i], rateBefore * levels.get(i).offered());
      left += granted[i] - most;
      granted[i] = most;
    }
    grant(levels, granted, left);
    return granted;
  }

  /** Grants capacity, the most urgent priorities first, and returns what is left. */
  private static double grant(List<LevelSums> levels, double[] granted, double capacity) {
    double left = capacity;
    for (int i = 0; i < granted.length; i++) {
      double added = Math.min(left, levels.get(i).offered() - granted[i]);
      granted[i] += added;
      left -= added;
    }
    return left;
  }

  /** Returns the shares of the customers that ask for more than their share of a capacity. */
  private static Map<Integer, Share> fill(LevelSums level, double capacity) {
    List<Claim> claims = claims(level);
    claims.sort(Comparator.comparingDouble(Claim::perWeight));
    double weights = claims.stream().mapToDouble(Claim::weight).sum();
    double left = capacity;
    Map<Integer, Share> shares = new HashMap<>();
    for (Claim claim : claims) {
      double share = Math.min(claim.offered(), left * claim.weight() / weights);
      left -= share;
      weights -= claim.weight();
      if (share < FULL * claim.offered()) {
        claim
            .customer()
            .ifPresent(sum -> shares.put(sum.customer(), new Share(claim.offered(), share)));
      }
    }
    return shares;
  }

  private static List<Claim> claims(LevelSums level) {
    List<Claim> claims = new ArrayList<>();
    for (CustomerSum sum : level.busiest()) {
      claims.add(new Claim(Optional.of(sum), sum.weight(), sum.offered()));
    }
    double listed = level.busiest().stream().mapToDouble(CustomerSum::offered).sum();
    double others = Math.max(0, level.offered() - listed);
    if (others > 0) {
      // All customers that are not listed are one claim of their common weight.
      int count = Math.max(1, level.customers() - level.busiest().size());
      claims.add(new Claim(Optional.empty(), count, others));
    }
    return claims;
  }

  /** Returns the share of a customer, if it asks for more than its share. */
  Optional<Share> excess(int priority, int customer) {
    return Optional.ofNullable(excessive.getOrDefault(priority, Map.of()).get(customer));
  }

  /** Returns how many customers ask for more than their share, over all priorities. */
  int excessiveCustomers() {
    return excessive.values().stream().mapToInt(Map::size).sum();
  }
}
