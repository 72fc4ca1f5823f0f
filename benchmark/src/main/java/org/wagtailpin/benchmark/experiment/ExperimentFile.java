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
 * @param entries number of entries, spread over the failure domains
 * @param callerMillis the one-way delay between callers and entries, in milliseconds
 * @param domainMillis the one-way delay between failure domains, in milliseconds
 * @param regionMillis the one-way delay between regions, in milliseconds
 * @param linkBytesPerSecond the byte budget of each pair of regions, in bytes per second
 * @param callBytes the bytes that a call transfers between regions
 * @param connections maximum connections to a server, over all entries
 * @param probeMillis the response time of a server to a probe, in milliseconds
 * @param probesPerSecond the maximum rate of probes over all entries, per second
 * @param services the services
 * @param groups the caller groups
 * @param phases the phases of a run, in order
 * @param faults the faults to inject, at the same times in each run
 * @param tunables values of tunables of routing and admission by name; null means none
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

  /** Copies the lists; null {@code tunables} become an empty map. */
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
   * @param servers number of servers
   * @param slots number of slots of each server
   * @param shedAt queue length at which a server refuses further calls
   * @param routes the routes to the service
   */
  public record ServiceSpec(
      String name, int servers, int slots, int shedAt, List<RouteSpec> routes) {

    /** Copies the list of routes. */
    public ServiceSpec {
      routes = List.copyOf(routes);
    }

    /** Returns the mean work of a call, weighted by the routes' shares, in milliseconds. */
    double meanMillis() {
      double shares = routes.stream().mapToDouble(RouteSpec::share).sum();
      double work = routes.stream().mapToDouble(r -> r.share() * r.meanMillis()).sum();
      return work / shares;
    }
  }

  /**
   * A route and the distribution of its work: lognormal, multiplied by a factor for stragglers.
   *
   * @param name its name
   * @param share share of the service's calls, relative to the other routes
   * @param workMillis mean work of calls that are not stragglers, in milliseconds
   * @param spread standard deviation of the logarithm of the work
   * @param stragglerShare share of calls that are stragglers, 0 to 1
   * @param stragglerFactor factor by which the work of stragglers is longer
   * @param longWork whether results count the route as long work
   * @param repeatable whether its calls may be run more than once
   * @param mayWait whether its calls may wait behind other work
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
   * @param weight weight of the group in a fair division of capacity
   * @param share share of the calls, relative to the other groups
   */
  public record GroupSpec(String name, double weight, double share) {}

  /**
   * A phase of a run.
   *
   * @param name its name
   * @param millis duration, in milliseconds
   * @param load offered load, as a share of the capacity of all slots
   * @param settleMillis time at its start that is left out of the results, in milliseconds
   * @param measured whether the results include the phase
   */
  public record PhaseSpec(
      String name, long millis, double load, long settleMillis, boolean measured) {}

  /**
   * A fault that is injected into one server.
   *
   * @param kind slow, fail-fast, drain, lie or cold; see {@link ServerFault}
   * @param service name of the server's service
   * @param server the number of the server in its service, from 0
   * @param fromMillis when it begins, in milliseconds from the start of the run
   * @param toMillis when it ends, in milliseconds from the start of the run
   * @param factor factor by which work takes longer during a slow, lie or cold fault
   */
  public record FaultSpec(
      String kind, String service, int server, long fromMillis, long toMillis, double factor) {}

  /**
   * Reads a description from a file.
   *
   * @param file the file
   * @throws IOException if the file cannot be read or parsed
   */
  public static ExperimentFile read(Path file) throws IOException {
    JsonMapper mapper = JsonMapper.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();
    return mapper.readValue(file.toFile(), ExperimentFile.class);
  }

  /** Returns a copy of this experiment with other versions. */
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

  /** Returns a copy of this experiment with at most its first {@code maxSeeds} seeds. */
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

  /** Returns a copy of this experiment with other values of tunables. */
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
