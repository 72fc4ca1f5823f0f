package org.wagtailpin.config;

import java.util.List;
import java.util.Optional;

/**
 * A service: backend servers that are interchangeable for the routes that lead to it.
 *
 * @param name the service's name
 * @param echoesAttempt whether its servers repeat the attempt identifier in their answers
 * @param refusals the answers by which its servers say that they did not run a request
 * @param probePath the path of the load probe, empty if its servers have none
 * @param connections the most connections that each of its servers takes over all entries, empty if
 *     only the servers themselves state it
 */
public record ConfigService(
    String name,
    boolean echoesAttempt,
    List<RefusalPattern> refusals,
    Optional<String> probePath,
    Optional<Integer> connections)
    implements ConfigObject {

  /** Creates a service that leaves the limit of connections to its servers. */
  public ConfigService(
      String name,
      boolean echoesAttempt,
      List<RefusalPattern> refusals,
      Optional<String> probePath) {
    this(name, echoesAttempt, refusals, probePath, Optional.empty());
  }

  /** Copies the list. */
  public ConfigService {
    refusals = List.copyOf(refusals);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.SERVICE;
  }
}
