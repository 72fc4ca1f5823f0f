package org.wagtailpin.routing;

import org.wagtailpin.config.ConfigServer;

/** Permission to run one attempt on a server, in a slot that is occupied for it. */
public interface Grant {

  /** Returns the server to run the attempt on. */
  ConfigServer server();

  /** Returns whether the attempt may still be sent; if not, the grant is finished without it. */
  default boolean usable() {
    return true;
  }

  /**
   * Releases the slot and reports the result of the attempt. Must be called exactly once.
   *
   * @param report the result of the attempt
   */
  void finished(AttemptReport report);
}
