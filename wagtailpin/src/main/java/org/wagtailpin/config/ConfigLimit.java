package org.wagtailpin.config;

import java.util.Map;
import java.util.Optional;

/**
 * Values of tunables, for one service or for all services.
 *
 * @param name the object's name
 * @param service the service that the values apply to; empty for all services without own values
 * @param values the values, each within the range of its tunable
 */
public record ConfigLimit(String name, Optional<String> service, Map<Tunable, Double> values)
    implements ConfigObject {

  /** Makes the map unmodifiable. */
  public ConfigLimit {
    values = Map.copyOf(values);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.LIMIT;
  }
}
