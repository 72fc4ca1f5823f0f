package org.wagtailpin.registry;

/** How the reading of a server's registration ended. */
public sealed interface ServerReadResult {

  /**
   * The registration was read.
   *
   * @param server the server
   */
  record Read(RegisteredServer server) implements ServerReadResult {}

  /**
   * The value names no server to use.
   *
   * @param detail what is wrong with it
   */
  record Unreadable(String detail) implements ServerReadResult {}
}
