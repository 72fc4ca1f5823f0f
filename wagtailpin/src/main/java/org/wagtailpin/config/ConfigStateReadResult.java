package org.wagtailpin.config;

/** Result of decoding the shared state. */
public sealed interface ConfigStateReadResult {

  /**
   * The state was decoded.
   *
   * @param state the decoded state, owned by the caller
   */
  record Read(ConfigState state) implements ConfigStateReadResult {}

  /**
   * The value is not an encoded state, or has a format that this version does not support.
   *
   * @param detail a one-line description of the first problem
   */
  record Unreadable(String detail) implements ConfigStateReadResult {}
}
