package org.wagtailpin.registry;

import org.wagtailpin.config.ConfigServer;

/**
 * The registration that a backend server writes for itself.
 *
 * @param service the name of the service that it belongs to
 * @param server the server
 * @param sequence a number that increases with each registration since the start of the server
 */
public record RegisteredServer(String service, ConfigServer server, long sequence) {

  /** Returns whether this was issued before another registration of the same server. */
  boolean isOlderThan(RegisteredServer other) {
    if (server.startedMillis() != other.server.startedMillis()) {
      return server.startedMillis() < other.server.startedMillis();
    }
    return sequence < other.sequence;
  }
}
