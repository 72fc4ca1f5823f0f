package org.wagtailpin.config;

import java.util.List;
import java.util.Optional;

/**
 * A service: a group of backend servers that are interchangeable for the routes to it.
 *
 * @param name the service's name
 * @param echoesAttempt whether its servers echo the attempt identifier in their answers
 * @param refusals the answers by which its servers state that they did not run a request
 * @param probePath the path of load probes, empty if its servers do not support them
 * @param connections the maximum number of connections to each of its servers, over all entries;
 *     empty if only the servers themselves state a maximum
 * @param slowStartMillis how long a server that starts during traffic is cold, in milliseconds;
 *     empty if only the servers themselves state that they are cold
 * @param warmupPerSecond the number of requests per second that a cold server tolerates, over all
 *     entries; empty if cold servers are not limited
 */
public record ConfigService(
    String name,
    boolean echoesAttempt,
    List<RefusalPattern> refusals,
    Optional<String> probePath,
    Optional<Integer> connections,
    Optional<Long> slowStartMillis,
    Optional<Double> warmupPerSecond)
    implements ConfigObject {

  /** Creates a service that does not limit cold servers. */
  public ConfigService(
      String name,
      boolean echoesAttempt,
      List<RefusalPattern> refusals,
      Optional<String> probePath,
      Optional<Integer> connections) {
    this(name, echoesAttempt, refusals, probePath, connections, Optional.empty(), Optional.empty());
  }

  /** Creates a service that sets no maximum number of connections. */
  public ConfigService(
      String name,
      boolean echoesAttempt,
      List<RefusalPattern> refusals,
      Optional<String> probePath) {
    this(name, echoesAttempt, refusals, probePath, Optional.empty());
  }

  /** Makes the list unmodifiable. */
  public ConfigService {
    refusals = List.copyOf(refusals);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.SERVICE;
  }
}
