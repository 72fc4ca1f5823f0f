package org.wagtailpin.config;

import java.util.List;

/**
 * Objects that an operator replaces together, such as a configuration given whole.
 *
 * <p>They are in force together or not at all, and what a later document leaves out is gone.
 *
 * @param name the document's name
 * @param objects the objects, none of them a document
 */
public record ConfigDocument(String name, List<ConfigObject> objects) implements ConfigObject {

  /** Copies the list. */
  public ConfigDocument {
    objects = List.copyOf(objects);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.DOCUMENT;
  }
}
