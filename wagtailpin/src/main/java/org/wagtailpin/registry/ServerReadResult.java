package org.wagtailpin.registry;

/** Result of reading a server's registration. */
public sealed interface ServerReadResult {

  /**
   * The registration was read.
   *
   * @param server the registration
   */
  record Read(RegisteredServer server) implements ServerReadResult {}

  /**
   * The value is not a valid registration, or the server cannot be used.
   *
   * @param detail a one-line description of the problem
   */
  record Unreadable(String detail) implements ServerReadResult {}
}
