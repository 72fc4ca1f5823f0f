package org.wagtailpin.daemon;

import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.wagtailpin.backend.BackendClient;
import org.wagtailpin.backend.BackendLoadProbe;
import org.wagtailpin.backend.BackendSettings;
import org.wagtailpin.backend.UnmatchedReason;
import org.wagtailpin.call.CallEnvironment;
import org.wagtailpin.call.CallSettings;
import org.wagtailpin.call.PrometheusCallMetrics;
import org.wagtailpin.call.QuotaPlacement;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.Tunable;
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
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.PlacementObserver;
import org.wagtailpin.routing.PrometheusPlacementObserver;
import org.wagtailpin.routing.QueueingPlacement;
import org.wagtailpin.routing.ServerNotices;
import org.wagtailpin.routing.ServerSubsets;
import org.wagtailpin.routing.SharedRandom;
import org.wagtailpin.routing.TaskScheduler;

/** Components of an entry that serve calls on its traffic threads: placement, retries, backends. */
public final class TrafficParts implements AutoCloseable {

  private static final long LEAVING_HOSTS_REFRESH_MILLIS = 500;

  /**
   * Allows a few round trips to the farthest region; a load report that arrives later is useless.
   */
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
    PlacementObserver observer =
        new CompositePlacementObserver(
            List.of(
                new PrometheusPlacementObserver(registry), new EventLogPlacementObserver(events)));
    TaskScheduler scheduler =
        (delayMillis, task) -> scheduleOnTrafficLoop(trafficLoops, delayMillis, task);
    ServerNotices notices = new ServerNotices(clock, scheduler, observer);
    backend =
        new BackendClient(
            BackendSettings.defaults(),
            trafficLoops,
            server -> shares.integerShare("connections/" + server.name(), server.connections()),
            clock,
            platform.dialect(),
            events,
            notices);
    QueueingPlacement placement =
        new QueueingPlacement(
            control.published(),
            new Locality(settings.region(), settings.failureDomain()),
            shares,
            leavingHosts,
            clock,
            random,
            scheduler,
            statistics,
            observer,
            new BackendLoadProbe(backend, trafficLoops, platform.dialect(), PROBE_TIMEOUT_MILLIS),
            notices,
            control.customerAdmission(),
            new ServerSubsets(settings.id(), subsetEntries(settings), shares));
    // An entry without calls during an evacuation has to know, too, that the servers return cold.
    control
        .merger()
        .addListener(
            merged -> {
              if (!control.published().current().evacuatedDomains().isEmpty()) {
                placement.refresh();
              }
            });
    environment =
        new CallEnvironment(
            CallSettings.defaults(),
            control.published(),
            quotaPlacement(placement, trafficLoops, clock),
            new BudgetedRetryPolicy(
                control.published(), clock, statistics, new RetryBudgets(), shares, random),
            control.claims(),
            backend,
            clock,
            events,
            new PrometheusCallMetrics(registry),
            platform.dialect());
  }

  private static int subsetEntries(EntrySettings settings) {
    Tunable tunable = Tunable.SUBSET_ENTRIES;
    return settings.constants().getOrDefault(tunable, tunable.defaultValue()).intValue();
  }

  private Placement quotaPlacement(Placement placement, EventLoopGroup trafficLoops, Clock clock) {
    return control
        .budgets()
        .<Placement>map(
            budgets ->
                new QuotaPlacement(
                    placement,
                    budgets,
                    clock,
                    (delayMillis, task) -> scheduleOnTrafficLoop(trafficLoops, delayMillis, task)))
        .orElse(placement);
  }

  // Queued calls are served by traffic threads rather than by the control thread, so that a long
  // queue does not delay heartbeats.
  private static ScheduledTask scheduleOnTrafficLoop(
      EventLoopGroup loops, long delayMillis, Runnable task) {
    Future<?> scheduled = loops.next().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  /**
   * Publishes to placement the hosts that the host list names as leaving, and schedules its next
   * run on the control loop. Call it once, on the control loop.
   */
  void refreshLeavingHosts() {
    try {
      leavingHosts.publish(control.leavingAddresses());
    } finally {
      loop.schedule(LEAVING_HOSTS_REFRESH_MILLIS, this::refreshLeavingHosts);
    }
  }

  CallEnvironment environment() {
    return environment;
  }

  /** Returns the hosts that are leaving, which placement does not use for new calls. */
  public LeavingHosts leavingHosts() {
    return leavingHosts;
  }

  /** Returns the number of open connections to backend servers. */
  public int backendConnections() {
    return backend.openConnections();
  }

  /** Returns how many answers of backend servers were discarded as surplus. */
  long staleAnswers() {
    return backend.staleAnswers();
  }

  /** Returns how much input of backend servers was discarded or refused for a reason. */
  long unmatchedAnswers(UnmatchedReason reason) {
    return backend.unmatchedAnswers(reason);
  }

  @Override
  public void close() {
    backend.close();
  }
}
