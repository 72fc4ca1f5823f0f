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
 * The services shared by all calls of an entry.
 *
 * @param settings the limits of calls
 * @param config source of the configuration in force
 * @param placement selects the backend server of each attempt
 * @param retryPolicy decides whether failed attempts are retried
 * @param claims claims and settles idempotency keys
 * @param backend sends requests to backend servers
 * @param clock the clock for deadlines and latencies
 * @param events log of the decisions on each call
 * @param metrics counts of calls and attempts
 * @param dialect the header names and HTTP conventions in use
 * @param keyRefusals records requests whose key is refused
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
    HttpDialect dialect,
    KeyRefusals keyRefusals) {

  /** Creates an environment with a recorder of refused keys of its own. */
  public CallEnvironment(
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
        dialect,
        new KeyRefusals(events, metrics, clock));
  }

  /** Creates an environment with {@link HttpDialect#standard()}. */
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
   * Records a request that was answered before it became a call.
   *
   * @param request the identifier of the request, empty if its head could not be read
   * @param problem the answer
   */
  public void recordUnreadRequest(Optional<String> request, Problem problem) {
    metrics.unreadRequestAnswered(problem.status());
    CallRecorder.recordUnreadRequest(events, request, problem);
  }
}
