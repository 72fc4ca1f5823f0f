package org.wagtailpin.config;

/** How the reading of the shared state ended. */
public sealed interface ConfigStateReadResult {

  /**
   * The state could be read.
   *
   * @param state the state
   */
  record Read(ConfigState state) implements ConfigStateReadResult {}

  /**
   * The value is no state, or one of a later format.
   *
   * @param detail one line for a person to read
   */
  record Unreadable(String detail) implements ConfigStateReadResult {}
}
