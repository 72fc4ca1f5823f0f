package org.wagtailpin.registry;

import org.wagtailpin.config.ConfigServer;

/**
 * The registration that a backend server writes for itself.
 *
 * @param service the name of the service that it belongs to
 * @param server the server
 */
public record RegisteredServer(String service, ConfigServer server) {

  /** Returns whether this was issued before another registration of the same server. */
  boolean isOlderThan(RegisteredServer other) {
    if (server.startedMillis() != other.server.startedMillis()) {
      return server.startedMillis() < other.server.startedMillis();
    }
    return server.sequence() < other.server.sequence();
  }
}
