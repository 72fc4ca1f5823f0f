package org.wagtailpin.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A routing rule: the requests that it matches and how they are served.
 *
 * @param name the route's name
 * @param host the host name to match in lower case, or empty to match any host
 * @param pathPrefix the path prefix to match, beginning with a slash
 * @param methods the HTTP methods to match in upper case, none to match any method
 * @param service the name of the service that serves the requests
 * @param repeatable whether requests may be run more than once; empty to decide by HTTP method
 * @param deadlineMillis the deadline of requests that state none, in milliseconds from their
 *     arrival, 1 to 3600000
 * @param keyRule how an {@code Idempotency-Key} header is treated
 * @param mayWait whether requests may be queued behind requests that may not wait
 * @param split the services that requests are divided among by weight; empty if all requests go to
 *     {@code service}
 * @param maxAttempts the maximum number of attempts per request; empty for the service's {@link
 *     Tunable#MAX_ATTEMPTS}
 * @param targetLatencyMillis the latency within which an answer keeps its full value, in
 *     milliseconds, empty if not specified
 * @param priority the priority under load, 0 for the most urgent
 * @param publicAccess whether requests need no customer's key
 * @param allowedRegions the regions in which its requests may run; empty for all regions
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
    int priority,
    boolean publicAccess,
    List<String> allowedRegions)
    implements ConfigObject {

  // The safe methods of RFC 9110 section 9.2.1; repeating them has no additional effect.
  private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

  /** Makes the collections unmodifiable. */
  public ConfigRoute {
    methods = Set.copyOf(methods);
    split = List.copyOf(split);
    allowedRegions = List.copyOf(allowedRegions);
  }

  /** Creates a route that needs a key if there are customers, and may run in all regions. */
  public ConfigRoute(
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
      int priority) {
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
        split,
        maxAttempts,
        targetLatencyMillis,
        priority,
        false,
        List.of());
  }

  /** Creates a route to a single service, with default limits and the highest priority. */
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
   * Returns this route with one of the services of its split selected by weight.
   *
   * @param point a value from 0 (inclusive) to 1 (exclusive), uniformly distributed over requests
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

  private ConfigRoute withService(String newService) {
    return new ConfigRoute(
        name,
        host,
        pathPrefix,
        methods,
        newService,
        repeatable,
        deadlineMillis,
        keyRule,
        mayWait,
        split,
        maxAttempts,
        targetLatencyMillis,
        priority,
        publicAccess,
        allowedRegions);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.ROUTE;
  }

  /**
   * Returns whether a request on this route may be run more than once.
   *
   * @param method the request's HTTP method in upper case
   */
  public boolean mayRepeat(String method) {
    return repeatable.orElseGet(() -> SAFE_METHODS.contains(method));
  }
}
