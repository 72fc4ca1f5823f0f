package org.wagtailpin.call;

import java.util.Optional;
import org.wagtailpin.backend.BackendClient;
import org.wagtailpin.claims.Claims;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.RetryPolicy;
import org.wagtailpin.transport.HttpDialect;

/**
 * What all calls of an entry work with.
 *
 * @param settings the settings of calls
 * @param config the configuration in force
 * @param placement decides on servers
 * @param retryPolicy decides on retries
 * @param claims the claims on idempotency keys
 * @param backend sends requests to backend servers
 * @param clock the clock
 * @param events takes note of decisions
 * @param metrics counts calls
 * @param dialect the header names
 */
public record CallEnvironment(
    CallSettings settings,
    ConfigSource config,
    Placement placement,
    RetryPolicy retryPolicy,
    Claims claims,
    BackendClient backend,
    Clock clock,
    EventLog events,
    CallMetrics metrics,
    HttpDialect dialect) {

  /** Creates an environment that uses the project's own header names. */
  public CallEnvironment(
      CallSettings settings,
      ConfigSource config,
      Placement placement,
      RetryPolicy retryPolicy,
      Claims claims,
      BackendClient backend,
      Clock clock,
      EventLog events,
      CallMetrics metrics) {
    this(
        settings,
        config,
        placement,
        retryPolicy,
        claims,
        backend,
        clock,
        events,
        metrics,
        HttpDialect.standard());
  }

  /**
   * Notes a request that was answered before it became a call.
   *
   * @param request its identifier, empty if it could not be read
   * @param problem the answer
   */
  public void recordUnreadRequest(Optional<String> request, Problem problem) {
    metrics.unreadRequestAnswered(problem.status());
    CallRecorder.recordUnreadRequest(events, request, problem);
  }
}
