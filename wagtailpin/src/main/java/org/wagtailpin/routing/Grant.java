package org.wagtailpin.routing;

import org.wagtailpin.config.ConfigServer;

/** Leave to run one attempt on a server. */
public interface Grant {

  /** Returns the server to run the attempt on. */
  ConfigServer server();

  /**
   * Gives the slot back and tells how the attempt went. Must be called exactly once.
   *
   * @param report how the attempt went
   */
  void finished(AttemptReport report);
}
