package org.wagtailpin.config;

import java.util.List;

/**
 * A set of backend servers of one service; a service may have several sets.
 *
 * @param name the set's name
 * @param service the name of the service that the servers belong to
 * @param servers the servers, whose names are unique over all sets
 */
public record ConfigServerSet(String name, String service, List<ConfigServer> servers)
    implements ConfigObject {

  /** Makes the list unmodifiable. */
  public ConfigServerSet {
    servers = List.copyOf(servers);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.SERVER_SET;
  }
}
