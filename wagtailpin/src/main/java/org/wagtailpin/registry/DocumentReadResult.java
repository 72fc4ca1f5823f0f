package org.wagtailpin.registry;

import org.wagtailpin.config.ConfigDocument;

/** How the reading of the operator's document ended. */
public sealed interface DocumentReadResult {

  /**
   * The document was read.
   *
   * @param document its objects
   * @param version the operator's number of it
   */
  record Read(ConfigDocument document, long version) implements DocumentReadResult {}

  /**
   * The value is no document.
   *
   * @param detail what is wrong with it
   */
  record Unreadable(String detail) implements DocumentReadResult {}
}
