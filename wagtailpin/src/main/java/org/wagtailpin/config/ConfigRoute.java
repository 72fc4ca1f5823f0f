package org.wagtailpin.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A rule that leads requests to a service.
 *
 * @param name the route's name
 * @param host the host name to match, empty to match any
 * @param pathPrefix the start of the path to match, beginning with a slash
 * @param methods the HTTP methods to match, none to match any
 * @param service the name of the service that serves the requests
 * @param repeatable whether the work may be repeated; empty to decide by the HTTP method
 * @param deadlineMillis the deadline for a request that states none, in milliseconds, 1 to 3600000
 * @param keyRule how an {@code Idempotency-Key} is treated
 * @param mayWait whether the work may be queued behind work that may not wait
 * @param split the services among which the requests are divided; none if all go to the one service
 * @param maxAttempts the most servers that one request is sent to, empty for the service's constant
 * @param targetLatencyMillis the time within which an answer has its full worth, in milliseconds,
 *     empty if nothing is said of it
 * @param priority the rank under load, 0 for the most urgent
 */
public record ConfigRoute(
    String name,
    Optional<String> host,
    String pathPrefix,
    Set<String> methods,
    String service,
    Optional<Boolean> repeatable,
    long deadlineMillis,
    IdempotencyKeyRule keyRule,
    boolean mayWait,
    List<WeightedService> split,
    Optional<Integer> maxAttempts,
    Optional<Long> targetLatencyMillis,
    int priority)
    implements ConfigObject {

  // RFC 9110 section 9.2.1: the safe methods; repeating them has no further effect.
  private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

  /** Copies the collections. */
  public ConfigRoute {
    methods = Set.copyOf(methods);
    split = List.copyOf(split);
  }

  /** Creates a route to one service, without bounds of its own. */
  public ConfigRoute(
      String name,
      Optional<String> host,
      String pathPrefix,
      Set<String> methods,
      String service,
      Optional<Boolean> repeatable,
      long deadlineMillis,
      IdempotencyKeyRule keyRule,
      boolean mayWait) {
    this(
        name,
        host,
        pathPrefix,
        methods,
        service,
        repeatable,
        deadlineMillis,
        keyRule,
        mayWait,
        List.of(),
        Optional.empty(),
        Optional.empty(),
        0);
  }

  /**
   * Returns this route with one of its services chosen.
   *
   * @param point where the choice falls, 0 to less than 1, spread evenly over requests
   */
  public ConfigRoute selectService(double point) {
    double total = split.stream().mapToDouble(WeightedService::weight).sum();
    double remaining = point * total;
    String selected = service;
    for (WeightedService part : split) {
      if (part.weight() > 0) {
        selected = part.service();
        remaining -= part.weight();
      }
      if (remaining < 0) {
        break;
      }
    }
    return selected.equals(service) ? this : withService(selected);
  }

  private ConfigRoute withService(String selected) {
    return new ConfigRoute(
        name,
        host,
        pathPrefix,
        methods,
        selected,
        repeatable,
        deadlineMillis,
        keyRule,
        mayWait,
        split,
        maxAttempts,
        targetLatencyMillis,
        priority);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.ROUTE;
  }

  /**
   * Tells whether a request on this route may be run more than once.
   *
   * @param method the request's HTTP method
   */
  public boolean mayRepeat(String method) {
    return repeatable.orElseGet(() -> SAFE_METHODS.contains(method));
  }
}
