package org.wagtailpin.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wagtailpin.clock.Clock;

/**
 * The sums of the work of customers that the entries of a failure domain exchange.
 *
 * <p>Each entry reports its own sums to the entry that it follows, the watcher, which adds them up
 * and answers with the total. Only services that refuse work are reported, so that nothing is sent
 * while there is capacity for all. A watcher that has just begun knows the sums of few entries;
 * they are used as they are, since shares depend on their proportions only. Thread-safe.
 */
public final class DomainCustomerSums {

  /** How many customers of each service and priority a message lists at most. */
  static final int LISTED = 4;

  /**
   * The age from which sums are not used any more: three intervals of the messages to the watcher.
   */
  static final double MAX_AGE_MILLIS = 2_000;

  /** Reported sums, and when they were measured. */
  private record Report(CustomerSums sums, double measuredMillis) {

    CustomerSums at(double now) {
      return new CustomerSums(sums.levels(), now - measuredMillis);
    }
  }

  private final CustomerLoad own;
  private final Clock clock;
  private final Map<String, Report> reports = new HashMap<>();
  private volatile Optional<Report> domain = Optional.empty();

  /**
   * Creates an exchange that knows the own sums only.
   *
   * @param own the work of this entry
   * @param clock the clock of the ages
   */
  public DomainCustomerSums(CustomerLoad own, Clock clock) {
    this.own = own;
    this.clock = clock;
  }

  /**
   * Returns what this entry reports to its watcher: the sums of the services that refuse work here
   * or, as far as known, elsewhere in the domain.
   */
  public CustomerSums report() {
    CustomerSums sums = own.sums();
    CustomerSums known = latest().orElseGet(CustomerSums::none);
    List<LevelSums> reported = new ArrayList<>();
    for (LevelSums level : sums.levels()) {
      if (refuses(sums, level.service()) || known.has(level.service())) {
        reported.add(level.limitedTo(LISTED));
      }
    }
    return new CustomerSums(reported, 0);
  }

  /**
   * Records what a follower reported to this entry.
   *
   * @param follower the identifier of the follower
   * @param sums its sums, with their age by the follower's clock
   */
  public synchronized void reported(String follower, CustomerSums sums) {
    if (sums.levels().isEmpty()) {
      reports.remove(follower);
    } else {
      reports.put(follower, new Report(sums, clock.exactMillis() - sums.ageMillis()));
    }
  }

  /**
   * Returns the sums of the domain, which this entry answers its followers with. They are in use
   * here, too, until sums of a watcher are received.
   */
  public synchronized CustomerSums total() {
    double now = clock.exactMillis();
    reports.values().removeIf(report -> now - report.measuredMillis() > MAX_AGE_MILLIS);
    List<CustomerSums> parts = new ArrayList<>();
    reports.values().forEach(report -> parts.add(report.at(now)));
    CustomerSums reported = CustomerSums.total(parts, Integer.MAX_VALUE);
    CustomerSums ownSums = own.sums();
    List<LevelSums> ownLevels =
        ownSums.levels().stream()
            .filter(level -> reported.has(level.service()) || refuses(ownSums, level.service()))
            .toList();
    parts.add(new CustomerSums(ownLevels, 0));
    CustomerSums total = CustomerSums.total(parts, LISTED);
    domain = Optional.of(new Report(total, now - total.ageMillis()));
    return total;
  }

  private static boolean refuses(CustomerSums sums, String service) {
    return sums.of(service).stream().anyMatch(LevelSums::refuses);
  }

  /**
   * Records the sums of the domain with which the watcher answered.
   *
   * @param sums the sums, with their age when the answer was sent
   * @param sentMillis the monotonic time at which the answered message was sent, in milliseconds
   */
  public void received(CustomerSums sums, double sentMillis) {
    domain = Optional.of(new Report(sums, sentMillis - sums.ageMillis()));
  }

  /** Returns the sums of the domain with their age, unless there are none or they are too old. */
  Optional<CustomerSums> latest() {
    double now = clock.exactMillis();
    return domain
        .map(report -> report.at(now))
        .filter(sums -> !sums.levels().isEmpty() && sums.ageMillis() <= MAX_AGE_MILLIS);
  }

  /** Returns the sums of this entry alone. */
  CustomerSums ownSums() {
    return own.sums();
  }
}
