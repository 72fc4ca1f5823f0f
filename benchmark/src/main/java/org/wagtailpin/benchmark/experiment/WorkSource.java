package org.wagtailpin.benchmark.experiment;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.wagtailpin.benchmark.experiment.ExperimentFile.GroupSpec;
import org.wagtailpin.benchmark.experiment.ExperimentFile.RouteSpec;
import org.wagtailpin.benchmark.experiment.ExperimentFile.ServiceSpec;

/** Draws the calls of one entry at random; the same seed gives the same calls for each version. */
final class WorkSource {

  private static final double MICROS_PER_MILLI = 1000;

  /**
   * A call that was drawn.
   *
   * @param service the service called
   * @param route the route of the service
   * @param group the group of the caller
   * @param workMicros the work, in microseconds, at least 1
   * @param straggler whether it was drawn as a straggler
   */
  record Draw(
      ServiceSpec service, RouteSpec route, GroupSpec group, int workMicros, boolean straggler) {

    WorkClass workClass() {
      if (straggler || route.longWork()) {
        return WorkClass.LONG;
      }
      return route.mayWait() ? WorkClass.PATIENT : WorkClass.SHORT;
    }
  }

  private final ExperimentFile file;
  private final UniformRandomProvider random;
  private final ContinuousSampler exponential;
  private final ContinuousSampler normal;

  WorkSource(ExperimentFile file, long seed, int entry) {
    this.file = file;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {seed, entry});
    this.exponential = ZigguratSampler.Exponential.of(random);
    this.normal = ZigguratSampler.NormalizedGaussian.of(random);
  }

  /** Draws the time to the next arrival of a Poisson process, in milliseconds. */
  double gapMillis(double callsPerMilli) {
    return exponential.sample() / callsPerMilli;
  }

  Draw next() {
    ServiceSpec service = service();
    RouteSpec route = route(service.routes());
    boolean straggler = random.nextDouble() < route.stragglerShare();
    double lognormal =
        Math.exp(route.spread() * normal.sample() - route.spread() * route.spread() / 2);
    double factor = straggler ? route.stragglerFactor() : 1;
    int micros = (int) (route.workMillis() * lognormal * factor * MICROS_PER_MILLI);
    return new Draw(service, route, group(), Math.max(1, micros), straggler);
  }

  /** Draws a service in proportion to the call rate that fills all its slots. */
  private ServiceSpec service() {
    double total = file.services().stream().mapToDouble(WorkSource::callsPerMilli).sum();
    double at = random.nextDouble() * total;
    for (ServiceSpec service : file.services()) {
      at -= callsPerMilli(service);
      if (at < 0) {
        return service;
      }
    }
    return file.services().get(0);
  }

  static double callsPerMilli(ServiceSpec service) {
    return service.servers() * service.slots() / service.meanMillis();
  }

  private RouteSpec route(List<RouteSpec> routes) {
    double at = random.nextDouble() * routes.stream().mapToDouble(RouteSpec::share).sum();
    for (RouteSpec route : routes) {
      at -= route.share();
      if (at < 0) {
        return route;
      }
    }
    return routes.get(0);
  }

  private GroupSpec group() {
    double at = random.nextDouble() * file.groups().stream().mapToDouble(GroupSpec::share).sum();
    for (GroupSpec group : file.groups()) {
      at -= group.share();
      if (at < 0) {
        return group;
      }
    }
    return file.groups().get(0);
  }
}
