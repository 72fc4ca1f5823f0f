package org.wagtailpin.routing;

import org.wagtailpin.config.ConfigServer;

/** Receives what servers state about themselves. */
public interface ServerNoticeListener {

  /**
   * Called for each answer, once its head was read, whether its caller still waits or not. Called
   * on traffic threads; does not block.
   *
   * @param server the server as it was when the request was sent
   * @param notice what its answer states
   */
  void noticed(ConfigServer server, ServerNotice notice);

  /** Returns a listener that does nothing. */
  static ServerNoticeListener none() {
    return (server, notice) -> {};
  }
}
