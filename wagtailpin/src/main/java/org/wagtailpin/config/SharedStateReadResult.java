package org.wagtailpin.config;

import org.wagtailpin.error.Fault;

/** Result of reading the shared state from the store. */
public sealed interface SharedStateReadResult {

  /**
   * The state could be read.
   *
   * @param state the state, empty if no ticket has been accepted yet
   */
  record Loaded(ConfigState state) implements SharedStateReadResult {}

  /**
   * The state could not be read.
   *
   * @param fault the store's fault, or why its value could not be decoded
   */
  record Failed(Fault fault) implements SharedStateReadResult {}
}
