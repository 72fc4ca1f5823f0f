package org.wagtailpin.daemon;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.backend.BackendClient;
import org.wagtailpin.backend.BackendLoadProbe;
import org.wagtailpin.backend.BackendSettings;
import org.wagtailpin.call.CallEnvironment;
import org.wagtailpin.call.CallSettings;
import org.wagtailpin.call.PrometheusCallMetrics;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.control.ControlLoop;
import org.wagtailpin.control.ScheduledTask;
import org.wagtailpin.eventlog.EventLog;
import org.wagtailpin.limits.BudgetedRetryPolicy;
import org.wagtailpin.limits.RetryBudgets;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.membership.LimitShares;
import org.wagtailpin.routing.CompositePlacementObserver;
import org.wagtailpin.routing.EventLogPlacementObserver;
import org.wagtailpin.routing.LeavingHosts;
import org.wagtailpin.routing.Locality;
import org.wagtailpin.routing.PrometheusPlacementObserver;
import org.wagtailpin.routing.QueueingPlacement;
import org.wagtailpin.routing.SharedRandom;

/** The parts of an entry that serve calls on traffic threads. */
public final class TrafficParts implements AutoCloseable {

  private static final long LEAVING_HOSTS_REFRESH_MILLIS = 500;

  /** Some trips to the farthest region; a report that comes later is of no use. */
  private static final long PROBE_TIMEOUT_MILLIS = 100;

  private final ControlLoop loop;
  private final ControlParts control;
  private final BackendClient backend;
  private final LeavingHosts leavingHosts = new LeavingHosts();
  private final CallEnvironment environment;

  TrafficParts(
      EntrySettings settings,
      EntryPlatform platform,
      Clock clock,
      ControlLoop loop,
      EventLoopGroup trafficLoops,
      ControlParts control,
      PrometheusRegistry registry,
      EventLog events,
      long seed) {
    this.loop = loop;
    this.control = control;
    LimitShares shares = control.shares();
    SharedRandom random = new SharedRandom(seed);
    RouteStatistics statistics = new RouteStatistics(clock);
    backend =
        new BackendClient(
            BackendSettings.defaults(),
            trafficLoops,
            server -> shares.integerShare("connections/" + server.name(), server.connections()),
            clock,
            platform.dialect());
    QueueingPlacement placement =
        new QueueingPlacement(
            control.published(),
            new Locality(settings.region(), settings.failureDomain()),
            shares,
            leavingHosts,
            clock,
            random,
            (delayMillis, task) -> scheduleOnTrafficLoop(trafficLoops, delayMillis, task),
            statistics,
            new CompositePlacementObserver(
                List.of(
                    new PrometheusPlacementObserver(registry),
                    new EventLogPlacementObserver(events))),
            new BackendLoadProbe(backend, trafficLoops, platform.dialect(), PROBE_TIMEOUT_MILLIS));
    environment =
        new CallEnvironment(
            CallSettings.defaults(),
            control.published(),
            placement,
            new BudgetedRetryPolicy(
                control.published(), clock, statistics, new RetryBudgets(), shares, random),
            control.claims(),
            backend,
            clock,
            events,
            new PrometheusCallMetrics(registry),
            platform.dialect());
  }

  // Queued calls are served by traffic threads, so that a long queue does not delay heartbeats.
  private static ScheduledTask scheduleOnTrafficLoop(
      EventLoopGroup loops, long delayMillis, Runnable task) {
    Future<?> scheduled = loops.next().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  /** Takes over from the host list which servers are leaving, now and from then on. */
  void refreshLeavingHosts() {
    leavingHosts.publish(control.leavingAddresses());
    loop.schedule(LEAVING_HOSTS_REFRESH_MILLIS, this::refreshLeavingHosts);
  }

  CallEnvironment environment() {
    return environment;
  }

  /** Returns the list of hosts that are leaving, which placement keeps off. */
  public LeavingHosts leavingHosts() {
    return leavingHosts;
  }

  /** Returns how many connections to backend servers are open. */
  public int backendConnections() {
    return backend.openConnections();
  }

  @Override
  public void close() {
    backend.close();
  }
}
