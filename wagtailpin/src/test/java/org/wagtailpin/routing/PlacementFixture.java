package org.wagtailpin.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wagtailpin.clock.ManualClock;
import org.wagtailpin.config.ConfigCallerGroup;
import org.wagtailpin.config.ConfigLimit;
import org.wagtailpin.config.ConfigLink;
import org.wagtailpin.config.ConfigObject;
import org.wagtailpin.config.ConfigRoute;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigServerSet;
import org.wagtailpin.config.ConfigService;
import org.wagtailpin.config.ConfigSnapshot;
import org.wagtailpin.config.IdempotencyKeyRule;
import org.wagtailpin.config.Tunable;
import org.wagtailpin.control.ManualControlLoop;
import org.wagtailpin.limits.CustomerAdmission;
import org.wagtailpin.limits.RouteStatistics;
import org.wagtailpin.membership.LimitShares;

/** Creates placements on a manual clock over servers named s0, s1 and so on. */
final class PlacementFixture {

  static final String SERVICE = "lessons";
  static final long SEED = 7;

  final ManualClock clock = new ManualClock(1_000_000);
  final ManualControlLoop loop = new ManualControlLoop(clock);
  final RouteStatistics statistics = new RouteStatistics(clock);
  final LeavingHosts leavingHosts = new LeavingHosts();
  final List<ConfigServer> servers = new ArrayList<>();
  final List<ConfigObject> extraObjects = new ArrayList<>();
  private Optional<String> probePath = Optional.empty();
  private Optional<Long> slowStartMillis = Optional.empty();
  private Optional<Double> warmupPerSecond = Optional.empty();
  int connectionShare = Integer.MAX_VALUE;
  double rateShare = 1;
  private volatile ConfigSnapshot snapshot = ConfigSnapshot.empty();
  private long version;

  PlacementFixture server(String name, String region, String domain, int slots) {
    servers.add(
        new ConfigServer(name, "10.0.0." + servers.size(), 80, region, domain, slots, 240, false));
    return this;
  }

  PlacementFixture withLoadProbe() {
    probePath = Optional.of("/load");
    return this;
  }

  PlacementFixture withSlowStart(long millis, double perSecond) {
    slowStartMillis = Optional.of(millis);
    warmupPerSecond = Optional.of(perSecond);
    return this;
  }

  PlacementFixture servers(int count, int slots) {
    for (int i = 0; i < count; i++) {
      server("s" + i, "north", "n1", slots);
    }
    return this;
  }

  PlacementFixture tune(Tunable tunable, double value) {
    extraObjects.add(new ConfigLimit(tunable.label(), Optional.empty(), Map.of(tunable, value)));
    return this;
  }

  PlacementFixture group(String name, double weight) {
    extraObjects.add(new ConfigCallerGroup(name, weight, List.of()));
    return this;
  }

  PlacementFixture link(String one, String other, long bytesPerSecond) {
    extraObjects.add(new ConfigLink(one + other, one, other, 8, bytesPerSecond, 10));
    return this;
  }

  void markLeaving(String name) {
    servers.replaceAll(
        s ->
            s.name().equals(name)
                ? new ConfigServer(
                    s.name(),
                    s.address(),
                    s.port(),
                    s.region(),
                    s.failureDomain(),
                    s.slots(),
                    s.connections(),
                    true)
                : s);
    publish();
  }

  PlacementFixture publish() {
    List<ConfigObject> objects = new ArrayList<>(extraObjects);
    objects.add(
        new ConfigService(
            SERVICE,
            false,
            List.of(),
            probePath,
            Optional.empty(),
            slowStartMillis,
            warmupPerSecond));
    objects.add(new ConfigServerSet("set", SERVICE, List.copyOf(servers)));
    snapshot = new ConfigSnapshot(++version, objects);
    return this;
  }

  QueueingPlacement placement() {
    return placement(SEED);
  }

  QueueingPlacement placement(long seed) {
    return placement(seed, PlacementObserver.none());
  }

  QueueingPlacement placement(long seed, PlacementObserver observer) {
    return placement(seed, observer, (server, path, done) -> done.accept(ProbeAnswer.none()));
  }

  QueueingPlacement placement(long seed, PlacementObserver observer, LoadProbe probe) {
    return new QueueingPlacement(
        () -> snapshot,
        new Locality("north", "n1"),
        shares(),
        leavingHosts,
        clock,
        new SharedRandom(seed),
        loop::schedule,
        statistics,
        observer,
        probe);
  }

  /** Returns a placement that heeds what servers state about themselves. */
  QueueingPlacement placement(ServerNotices notices) {
    return placement(SEED, notices, ServerSubsets.whole(), LoadProbe.none());
  }

  QueueingPlacement placement(
      long seed, ServerNotices notices, ServerSubsets subsets, LoadProbe probe) {
    CustomerAdmission customers = new CustomerAdmission(clock);
    return placement(seed, new RouteStatistics(clock), notices, customers, subsets, probe);
  }

  /** Returns the placement of one of several entries, with its own statistics. */
  QueueingPlacement placement(
      long seed, RouteStatistics ownStatistics, CustomerAdmission customerAdmission) {
    return placement(
        seed,
        ownStatistics,
        new ServerNotices(clock, loop::schedule, PlacementObserver.none()),
        customerAdmission,
        ServerSubsets.whole(),
        LoadProbe.none());
  }

  private QueueingPlacement placement(
      long seed,
      RouteStatistics ownStatistics,
      ServerNotices notices,
      CustomerAdmission customerAdmission,
      ServerSubsets subsets,
      LoadProbe probe) {
    return new QueueingPlacement(
        () -> snapshot,
        new Locality("north", "n1"),
        shares(),
        leavingHosts,
        clock,
        new SharedRandom(seed),
        loop::schedule,
        ownStatistics,
        PlacementObserver.none(),
        probe,
        notices,
        customerAdmission,
        subsets);
  }

  LimitShares shares() {
    return new LimitShares() {
      @Override
      public int integerShare(String limitName, int limit) {
        return Math.min(limit, connectionShare);
      }

      @Override
      public double share(double limit) {
        return limit * rateShare;
      }
    };
  }

  CallDescriptor call(long deadlineMillis) {
    return call("short", "group", 0, false, deadlineMillis);
  }

  /** Returns a call of a priority, 0 for the most urgent. */
  CallDescriptor call(int priority, long deadlineMillis) {
    ConfigRoute route = call("p" + priority, "group", 0, false, deadlineMillis).route();
    ConfigRoute ranked =
        new ConfigRoute(
            route.name(),
            route.host(),
            route.pathPrefix(),
            route.methods(),
            route.service(),
            route.repeatable(),
            route.deadlineMillis(),
            route.keyRule(),
            route.mayWait(),
            route.split(),
            route.maxAttempts(),
            route.targetLatencyMillis(),
            priority);
    return new CallDescriptor("r", ranked, true, "group", 0, clock.millis() + deadlineMillis);
  }

  CallDescriptor call(String route, String group, int depth, boolean mayWait, long deadlineMillis) {
    ConfigRoute configRoute =
        new ConfigRoute(
            route,
            Optional.empty(),
            "/",
            Set.of(),
            SERVICE,
            Optional.empty(),
            1000,
            IdempotencyKeyRule.IGNORED,
            mayWait);
    return new CallDescriptor(
        "r", configRoute, true, group, depth, clock.millis() + deadlineMillis);
  }

  static AttemptReport answered(double millis) {
    return new AttemptReport(new AttemptOutcome.Answered(200), millis, Optional.empty());
  }

  static AttemptReport answered(double millis, LoadReport load) {
    return new AttemptReport(new AttemptOutcome.Answered(200), millis, Optional.of(load));
  }
}
