package org.wagtailpin.benchmark.experiment;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.benchmark.experiment.baseline.CentralBound;
import org.wagtailpin.benchmark.experiment.baseline.LeastInFlightPick;
import org.wagtailpin.benchmark.experiment.baseline.Pick;
import org.wagtailpin.benchmark.experiment.baseline.PickPlacement;
import org.wagtailpin.benchmark.experiment.baseline.RandomPick;
import org.wagtailpin.benchmark.experiment.baseline.RoundRobinPick;
import org.wagtailpin.benchmark.experiment.baseline.StaleReportPick;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.membership.LimitShares;
import org.wagtailpin.routing.LeavingHosts;
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.QueueingPlacement;
import org.wagtailpin.routing.SharedRandom;

/** The policies by their names in experiment files. */
final class Versions {

  private Versions() {}

  static Version create(String name, ExperimentFile file, ConfigSource config, Clock clock) {
    return switch (name) {
      case "random" -> site -> picking(site, new RandomPick(random(site)));
      case "round-robin" -> site -> picking(site, new RoundRobinPick(site.number()));
      case "least-in-flight" -> site -> picking(site, new LeastInFlightPick(random(site)));
      case "stale-report" -> site -> picking(site, new StaleReportPick(random(site)));
      case "central-bound" -> central(file, config, clock);
      case "wagtailpin" -> Versions::wagtailpin;
      default -> throw new IllegalArgumentException("no version is named " + name);
    };
  }

  private static Placement picking(EntrySite site, Pick pick) {
    return new PickPlacement(site.config(), site.locality(), pick);
  }

  private static UniformRandomProvider random(EntrySite site) {
    return new SharedRandom(site.seed() * 1000 + site.number());
  }

  private static Version central(ExperimentFile file, ConfigSource config, Clock clock) {
    double mean =
        file.services().stream()
            .mapToDouble(ExperimentFile.ServiceSpec::meanMillis)
            .average()
            .orElse(0);
    Map<String, Double> work = new HashMap<>();
    file.services()
        .forEach(service -> service.routes().forEach(r -> work.put(r.name(), r.workMillis())));
    CentralBound bound = new CentralBound(config, clock, mean, file.regionMillis(), work);
    return new Version() {
      @Override
      public Placement placement(EntrySite site) {
        return bound.placement(site.locality());
      }

      @Override
      public void slotFreed(String server) {
        bound.freed(server);
      }
    };
  }

  private static Placement wagtailpin(EntrySite site) {
    return new QueueingPlacement(
        site.config(),
        site.locality(),
        evenShares(site.number(), site.entries()),
        new LeavingHosts(),
        site.clock(),
        random(site),
        site.scheduler(),
        site.statistics(),
        site.observer());
  }

  private static LimitShares evenShares(int number, int entries) {
    return new LimitShares() {
      @Override
      public int integerShare(String limitName, int limit) {
        int turn = Math.floorMod(number + limitName.hashCode(), entries);
        return limit / entries + (turn < limit % entries ? 1 : 0);
      }

      @Override
      public double share(double limit) {
        return limit / entries;
      }
    };
  }
}
