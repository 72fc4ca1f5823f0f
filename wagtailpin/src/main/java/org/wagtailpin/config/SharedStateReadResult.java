package org.wagtailpin.config;

import org.wagtailpin.error.Fault;

/** How the reading of the shared state from the store ended. */
public sealed interface SharedStateReadResult {

  /**
   * The state could be read.
   *
   * @param state the state
   */
  record Loaded(ConfigState state) implements SharedStateReadResult {}

  /**
   * The state could not be read.
   *
   * @param fault why
   */
  record Failed(Fault fault) implements SharedStateReadResult {}
}
