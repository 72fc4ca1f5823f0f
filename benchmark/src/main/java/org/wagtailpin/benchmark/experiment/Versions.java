package org.wagtailpin.benchmark.experiment;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.wagtailpin.benchmark.experiment.baseline.CentralBound;
import org.wagtailpin.benchmark.experiment.baseline.LeastInFlightPicker;
import org.wagtailpin.benchmark.experiment.baseline.Picker;
import org.wagtailpin.benchmark.experiment.baseline.PickerPlacement;
import org.wagtailpin.benchmark.experiment.baseline.RandomPicker;
import org.wagtailpin.benchmark.experiment.baseline.RoundRobinPicker;
import org.wagtailpin.benchmark.experiment.baseline.StaleReportPicker;
import org.wagtailpin.clock.Clock;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.membership.LimitShares;
import org.wagtailpin.routing.LeavingHosts;
import org.wagtailpin.routing.LoadProbe;
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.QueueingPlacement;
import org.wagtailpin.routing.SharedRandom;

/** Factory of the policies by their names in experiment files. */
final class Versions {

  private Versions() {}

  static Version create(String name, ExperimentFile file, ConfigSource config, Clock clock) {
    return switch (name) {
      case "random" -> context -> pickerPlacement(context, new RandomPicker(random(context)));
      case "round-robin" ->
          context -> pickerPlacement(context, new RoundRobinPicker(context.number()));
      case "least-in-flight" ->
          context -> pickerPlacement(context, new LeastInFlightPicker(random(context)));
      case "stale-report" ->
          context -> pickerPlacement(context, new StaleReportPicker(random(context)));
      case "central-bound" -> central(file, config, clock);
      case "wagtailpin" -> Versions::wagtailpin;
      default -> throw new IllegalArgumentException("unknown version " + name);
    };
  }

  private static Placement pickerPlacement(EntryContext context, Picker picker) {
    return new PickerPlacement(context.config(), context.locality(), picker);
  }

  private static UniformRandomProvider random(EntryContext context) {
    return new SharedRandom(context.seed() * 1000 + context.number());
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
      public Placement placement(EntryContext context) {
        return bound.placement(context.locality());
      }

      @Override
      public void slotFreed(String server) {
        bound.releaseSlot(server);
      }
    };
  }

  private static Placement wagtailpin(EntryContext context) {
    return new QueueingPlacement(
        context.config(),
        context.locality(),
        evenShares(context.number(), context.entries()),
        new LeavingHosts(),
        context.clock(),
        random(context),
        context.scheduler(),
        context.statistics(),
        context.observer(),
        LoadProbe.none());
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
