package org.wagtailpin.benchmark.jmh;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.wagtailpin.clock.SystemClock;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.membership.LimitShares;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptOutcome;
import org.wagtailpin.routing.AttemptReport;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.LeavingHosts;
import org.wagtailpin.routing.LoadProbe;
import org.wagtailpin.routing.LoadReport;
import org.wagtailpin.routing.Locality;
import org.wagtailpin.routing.PlacementListener;
import org.wagtailpin.routing.PlacementObserver;
import org.wagtailpin.routing.QueueingPlacement;
import org.wagtailpin.routing.Refusal;
import org.wagtailpin.routing.SharedRandom;

/** Measures the time of one placement decision and of reporting its answer, by server count. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PlacementBenchmark {

  private static final int SERVICES = 64;
  private static final int SLOTS = 6;
  private static final int CONNECTIONS = 240;
  private static final long DEADLINE_MILLIS = 100_000;
  private static final long SEED = 5;

  /** Number of servers over all services. */
  @Param({"128", "850", "3400"})
  public int servers;

  private final SystemClock clock = new SystemClock();
  private final List<ConfigRoute> routes = new ArrayList<>();
  private QueueingPlacement placement;
  private AttemptReport report;
  private int next;

  /** Builds the configuration and the placement under test. */
  @Setup
  public void build() {
    List<ConfigObject> objects = new ArrayList<>();
    for (int i = 0; i < SERVICES; i++) {
      addService(objects, "service" + i, i);
    }
    ConfigSnapshot snapshot = new ConfigSnapshot(1, objects);
    placement =
        new QueueingPlacement(
            () -> snapshot,
            new Locality("north", "n0"),
            undividedLimits(),
            new LeavingHosts(),
            clock,
            new SharedRandom(SEED),
            (delay, task) -> () -> {},
            new RouteStatistics(clock),
            PlacementObserver.none(),
            LoadProbe.none());
    report =
        new AttemptReport(
            new AttemptOutcome.Answered(200), 20, Optional.of(new LoadReport(2, 0, false)));
  }

  private void addService(List<ConfigObject> objects, String name, int number) {
    List<ConfigServer> set = new ArrayList<>();
    for (int i = number; i < servers; i += SERVICES) {
      String region = (i / SERVICES) % 2 == 0 ? "north" : "south";
      set.add(
          new ConfigServer(
              "s" + i, "10.0.0.1", i, region, region + i % 3, SLOTS, CONNECTIONS, false));
    }
    ConfigRoute route =
        new ConfigRoute(
            "route" + number,
            Optional.empty(),
            "/" + name,
            Set.of(),
            name,
            Optional.empty(),
            DEADLINE_MILLIS,
            IdempotencyKeyRule.IGNORED,
            false);
    routes.add(route);
    objects.add(new ConfigService(name, false, List.of(), Optional.empty()));
    objects.add(new ConfigServerSet(name, name, set));
    objects.add(route);
  }

  private static LimitShares undividedLimits() {
    return new LimitShares() {
      @Override
      public int integerShare(String limitName, int limit) {
        return limit;
      }

      @Override
      public double share(double limit) {
        return limit;
      }
    };
  }

  /** Places one call and reports its answer. */
  @Benchmark
  public Object decision() {
    ConfigRoute route = routes.get(next++ % SERVICES);
    CallDescriptor call =
        new CallDescriptor("r", route, true, "group", 0, clock.millis() + DEADLINE_MILLIS);
    return placement.request(call, AttemptHistory.none(), new FinishingListener());
  }

  private final class FinishingListener implements PlacementListener {
    @Override
    public void granted(Grant grant) {
      grant.finished(report);
    }

    @Override
    public void refused(Refusal refusal) {
      throw new IllegalStateException(refusal.toString());
    }
  }
}
