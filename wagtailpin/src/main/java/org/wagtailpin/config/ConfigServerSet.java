package org.wagtailpin.config;

import java.util.List;

/**
 * The backend servers that serve a service.
 *
 * @param name the set's name
 * @param service the service that they serve
 * @param servers the servers
 */
public record ConfigServerSet(String name, String service, List<ConfigServer> servers)
    implements ConfigObject {

  /** Copies the list. */
  public ConfigServerSet {
    servers = List.copyOf(servers);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.SERVER_SET;
  }
}
