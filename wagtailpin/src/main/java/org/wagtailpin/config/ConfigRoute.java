package org.wagtailpin.config;

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
 */
public record ConfigRoute(
    String name,
    Optional<String> host,
    String pathPrefix,
    Set<String> methods,
    String service,
    Optional<Boolean> repeatable,
    long deadlineMillis,
    KeyRule keyRule,
    boolean mayWait)
    implements ConfigObject {

  // RFC 9110 section 9.2.1: the safe methods; repeating them has no further effect.
  private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

  /** Copies the set. */
  public ConfigRoute {
    methods = Set.copyOf(methods);
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
