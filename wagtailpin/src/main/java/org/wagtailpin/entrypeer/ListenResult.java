package org.wagtailpin.entrypeer;

import org.wagtailpin.error.Fault;

/** Result of the attempt to listen for other entries. */
public sealed interface ListenResult {

  /**
   * The messenger listens.
   *
   * @param port the TCP port that was bound
   */
  record Listening(int port) implements ListenResult {}

  /**
   * The port could not be bound; the messenger does not listen.
   *
   * @param fault the cause
   */
  record Failed(Fault fault) implements ListenResult {}
}
