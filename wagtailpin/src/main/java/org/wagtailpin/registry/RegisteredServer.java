package org.wagtailpin.registry;

import org.wagtailpin.config.ConfigServer;

/**
 * What a backend server says of itself.
 *
 * @param service the service that it serves
 * @param server the server
 * @param sequence a number that rises with each registration of one start of the server
 */
public record RegisteredServer(String service, ConfigServer server, long sequence) {

  /** Tells whether this was written before another registration of the same server. */
  boolean isOlderThan(RegisteredServer other) {
    if (server.startedMillis() != other.server.startedMillis()) {
      return server.startedMillis() < other.server.startedMillis();
    }
    return sequence < other.sequence;
  }
}
