package org.wagtailpin.config;

import java.util.Map;
import java.util.Optional;

/**
 * Values for the named constants of routing and admission.
 *
 * @param name the object's name
 * @param service the service they hold for, empty for all services that have none of their own
 * @param values the values, each within its constant's range
 */
public record ConfigLimit(String name, Optional<String> service, Map<Tunable, Double> values)
    implements ConfigObject {

  /** Copies the map. */
  public ConfigLimit {
    values = Map.copyOf(values);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.LIMIT;
  }
}
