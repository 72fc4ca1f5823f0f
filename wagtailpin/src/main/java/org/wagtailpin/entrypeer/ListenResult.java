package org.wagtailpin.entrypeer;

import org.wagtailpin.error.Fault;

/** How the attempt to listen for other entries ended. */
public sealed interface ListenResult {

  /**
   * The messenger listens.
   *
   * @param port the TCP port
   */
  record Listening(int port) implements ListenResult {}

  /**
   * The messenger does not listen.
   *
   * @param fault why
   */
  record Failed(Fault fault) implements ListenResult {}
}
