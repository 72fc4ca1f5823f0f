package org.wagtailpin.backend;

import org.wagtailpin.config.ConfigServer;

/** Limits on the number of connections that this entry may open to a backend server. */
public interface ConnectionLimits {

  /**
   * Returns the maximum number of connections to a server, at least 0. Called by traffic threads
   * for each attempt.
   *
   * @param server the server
   */
  int maxConnections(ConfigServer server);
}
