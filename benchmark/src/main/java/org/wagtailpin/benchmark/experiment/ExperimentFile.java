package org.wagtailpin.benchmark.experiment;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The description of an experiment, read from JSON with comments.
 *
 * @param name its name
 * @param versions the names of the policies to compare
 * @param seeds the seeds; each version runs once with each, in alternation
 * @param regions the names of the regions, each of two failure domains
 * @param entries how many entries there are, spread over the failure domains
 * @param callerMillis the one-way delay between callers and entries, in milliseconds
 * @param domainMillis the one-way delay between failure domains, in milliseconds
 * @param regionMillis the one-way delay between regions, in milliseconds
 * @param linkBytesPerSecond the byte budget of each pair of regions, in bytes a second
 * @param callBytes the bytes that a call moves over a link
 * @param connections the connections that a server takes over all entries
 * @param probeMillis the time that a server needs to answer a probe, in milliseconds
 * @param probesPerSecond the probes allowed over all entries, a second
 * @param services the services
 * @param groups the caller groups
 * @param phases the phases of a run, in order
 * @param faults the faults injected, in each run at the same times
 * @param tunables values for named constants of routing and admission, by their names in tickets
 */
public record ExperimentFile(
    String name,
    List<String> versions,
    List<Long> seeds,
    List<String> regions,
    int entries,
    double callerMillis,
    double domainMillis,
    double regionMillis,
    long linkBytesPerSecond,
    long callBytes,
    int connections,
    double probeMillis,
    double probesPerSecond,
    List<ServiceSpec> services,
    List<GroupSpec> groups,
    List<PhaseSpec> phases,
    List<FaultSpec> faults,
    Map<String, Double> tunables) {

  /** Copies the lists. */
  public ExperimentFile {
    versions = List.copyOf(versions);
    seeds = List.copyOf(seeds);
    regions = List.copyOf(regions);
    services = List.copyOf(services);
    groups = List.copyOf(groups);
    phases = List.copyOf(phases);
    faults = List.copyOf(faults);
    tunables = tunables == null ? Map.of() : Map.copyOf(tunables);
  }

  /**
   * A service and its servers.
   *
   * @param name its name
   * @param servers how many servers it has
   * @param slots the slots of each
   * @param shedAt how many calls wait at a server before it refuses more
   * @param routes the routes that lead to it
   */
  public record ServiceSpec(
      String name, int servers, int slots, int shedAt, List<RouteSpec> routes) {

    /** Copies the list. */
    public ServiceSpec {
      routes = List.copyOf(routes);
    }

    /** Returns the mean work of a call, in milliseconds, by the routes' shares. */
    double meanMillis() {
      double shares = routes.stream().mapToDouble(RouteSpec::share).sum();
      double work = routes.stream().mapToDouble(r -> r.share() * r.meanMillis()).sum();
      return work / shares;
    }
  }

  /**
   * A route and its work. Times are lognormal, but for the stragglers.
   *
   * @param name its name
   * @param share its share of the service's calls
   * @param workMillis the mean of the usual work, in milliseconds
   * @param spread the standard deviation of the work's logarithm
   * @param stragglerShare the share of calls that run much longer
   * @param stragglerFactor how many times longer these run
   * @param longWork whether results count the route as long work
   * @param repeatable whether its work may be repeated
   * @param mayWait whether its work may wait
   * @param deadlineMillis the deadline, in milliseconds
   */
  public record RouteSpec(
      String name,
      double share,
      double workMillis,
      double spread,
      double stragglerShare,
      double stragglerFactor,
      boolean longWork,
      boolean repeatable,
      boolean mayWait,
      long deadlineMillis) {

    double meanMillis() {
      return workMillis * (1 + stragglerShare * (stragglerFactor - 1));
    }
  }

  /**
   * A caller group.
   *
   * @param name its name
   * @param weight its weight
   * @param share its share of the calls
   */
  public record GroupSpec(String name, double weight, double share) {}

  /**
   * A phase of a run.
   *
   * @param name its name
   * @param millis its length, in milliseconds
   * @param load the work offered, as a share of all slots
   * @param settleMillis how much of its start is left out of the results, in milliseconds
   * @param measured whether it is part of the results
   */
  public record PhaseSpec(
      String name, long millis, double load, long settleMillis, boolean measured) {}

  /**
   * A fault of one server.
   *
   * @param kind slow, fail-fast, drain, lie or cold
   * @param service the service of the server
   * @param server the number of the server in its service, from 0
   * @param fromMillis when it begins, in milliseconds from the start of the run
   * @param toMillis when it ends, in milliseconds from the start of the run
   * @param factor how many times longer work takes meanwhile
   */
  public record FaultSpec(
      String kind, String service, int server, long fromMillis, long toMillis, double factor) {}

  /**
   * Reads a description.
   *
   * @param file the file
   * @throws IOException if it cannot be read or is not a description
   */
  public static ExperimentFile read(Path file) throws IOException {
    JsonMapper mapper = JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();
    return mapper.readValue(file.toFile(), ExperimentFile.class);
  }

  /** Returns this experiment with other versions. */
  ExperimentFile withVersions(List<String> otherVersions) {
    return new ExperimentFile(
        name,
        otherVersions,
        seeds,
        regions,
        entries,
        callerMillis,
        domainMillis,
        regionMillis,
        linkBytesPerSecond,
        callBytes,
        connections,
        probeMillis,
        probesPerSecond,
        services,
        groups,
        phases,
        faults,
        tunables);
  }

  /** Returns this experiment with its first seeds only. */
  ExperimentFile withSeeds(int maxSeeds) {
    List<Long> fewer = seeds.subList(0, Math.min(maxSeeds, seeds.size()));
    return new ExperimentFile(
        name,
        versions,
        fewer,
        regions,
        entries,
        callerMillis,
        domainMillis,
        regionMillis,
        linkBytesPerSecond,
        callBytes,
        connections,
        probeMillis,
        probesPerSecond,
        services,
        groups,
        phases,
        faults,
        tunables);
  }

  /** Returns this experiment with other values for named constants. */
  ExperimentFile withTunables(Map<String, Double> values) {
    return new ExperimentFile(
        name,
        versions,
        seeds,
        regions,
        entries,
        callerMillis,
        domainMillis,
        regionMillis,
        linkBytesPerSecond,
        callBytes,
        connections,
        probeMillis,
        probesPerSecond,
        services,
        groups,
        phases,
        faults,
        values);
  }
}
