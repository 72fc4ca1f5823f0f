package org.wagtailpin.registry;

import org.wagtailpin.config.ConfigDocument;

/** Result of reading the operator's document. */
public sealed interface DocumentReadResult {

  /**
   * The document was read.
   *
   * @param document the objects of the document
   * @param version the version number that the operator gave it
   */
  record Read(ConfigDocument document, long version) implements DocumentReadResult {}

  /**
   * The value is not a valid document.
   *
   * @param detail a one-line description of the problem
   */
  record Unreadable(String detail) implements DocumentReadResult {}
}
