package org.wagtailpin.backend;

import org.wagtailpin.config.ConfigServer;

/** Tells how many connections this entry may hold to a backend server. */
public interface ConnectionLimits {

  /**
   * Returns the most connections to a server, at least 0. Called by traffic threads for each
   * attempt.
   *
   * @param server the server
   */
  int maxConnections(ConfigServer server);
}
