package org.wagtailpin.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.wagtailpin.clock.Clock;

/**
 * Counts the work of customers that this entry has given a server or refused, by service and
 * priority, in sums that fade with time. Safe for all threads.
 */
public final class CustomerLoad {

  /**
   * The time in which counted work fades to 1/e. A few times the interval of the messages within a
   * failure domain, and short against the bursts of several seconds that it is meant for.
   */
  static final double FADE_MILLIS = 2_000;

  /** How many customers are counted for a service and priority; beyond, the idlest are dropped. */
  static final int MAX_CUSTOMERS = 256;

  /** Work below this is not counted as a customer's any more, in slots. */
  private static final double MIN_SLOTS = 0.001;

  private record LevelKey(String service, int priority) {}

  private static final class Sums {
    private final double weight;
    private final DecayingSum admitted = new DecayingSum(FADE_MILLIS);
    private final DecayingSum refused = new DecayingSum(FADE_MILLIS);

    Sums(double weight) {
      this.weight = weight;
    }

    CustomerSum at(int customer, double now) {
      return new CustomerSum(customer, weight, admitted.perMilli(now), refused.perMilli(now));
    }
  }

  private static final class Level {
    private final Sums total = new Sums(1);
    private final Map<Integer, Sums> customers = new HashMap<>();

    synchronized void add(CustomerWork work, boolean admitted, double now) {
      int customer = work.customerId();
      Sums known = customers.get(customer);
      if (known == null) {
        makeRoom(now);
        known = new Sums(work.weight());
        customers.put(customer, known);
      }
      for (Sums sums : List.of(total, known)) {
        (admitted ? sums.admitted : sums.refused).add(work.workMillis(), now);
      }
    }

    private void makeRoom(double now) {
      if (customers.size() < MAX_CUSTOMERS) {
        return;
      }
      customers
          .entrySet()
          .removeIf(entry -> entry.getValue().at(entry.getKey(), now).offered() < MIN_SLOTS);
      List<CustomerSum> sorted = sums(now);
      // Half are dropped at once, so that not every call of another customer sorts them.
      for (int i = MAX_CUSTOMERS / 2; i < sorted.size(); i++) {
        customers.remove(sorted.get(i).customer());
      }
    }

    private List<CustomerSum> sums(double now) {
      List<CustomerSum> sums = new ArrayList<>();
      customers.forEach((customer, known) -> sums.add(known.at(customer, now)));
      return LevelSums.sorted(sums);
    }

    synchronized LevelSums at(LevelKey key, double now) {
      CustomerSum all = total.at(0, now);
      List<CustomerSum> busy =
          sums(now).stream().filter(sum -> sum.offered() >= MIN_SLOTS).toList();
      return new LevelSums(
          key.service(), key.priority(), all.admitted(), all.refused(), busy.size(), busy);
    }

    synchronized double offered(int customer, double now) {
      Sums known = customers.get(customer);
      return known == null ? 0 : known.at(customer, now).offered();
    }

    synchronized int size() {
      return customers.size();
    }
  }

  private final Clock clock;
  private final ConcurrentHashMap<LevelKey, Level> levels = new ConcurrentHashMap<>();

  /**
   * Creates sums without work.
   *
   * @param clock the clock by which work fades
   */
  public CustomerLoad(Clock clock) {
    this.clock = clock;
  }

  /** Counts work that was given a server. */
  public void recordAdmitted(CustomerWork work) {
    level(work).add(work, true, clock.exactMillis());
  }

  /** Counts work that was refused for lack of capacity. */
  public void recordRefused(CustomerWork work) {
    level(work).add(work, false, clock.exactMillis());
  }

  private Level level(CustomerWork work) {
    return levels.computeIfAbsent(
        new LevelKey(work.service(), work.priority()), key -> new Level());
  }

  /** Returns the work that a customer asked this entry for, in slots. */
  double offered(String service, int priority, int customer) {
    Level level = levels.get(new LevelKey(service, priority));
    return level == null ? 0 : level.offered(customer, clock.exactMillis());
  }

  /** Returns the sums of all services, with all customers that are counted. */
  CustomerSums sums() {
    double now = clock.exactMillis();
    List<LevelSums> sums = new ArrayList<>();
    levels.forEach((key, level) -> sums.add(level.at(key, now)));
    return new CustomerSums(
        sums.stream().filter(level -> level.offered() >= MIN_SLOTS).toList(), 0);
  }

  /** Returns how many customers are counted, over all services and priorities. */
  int size() {
    return levels.values().stream().mapToInt(Level::size).sum();
  }
}
