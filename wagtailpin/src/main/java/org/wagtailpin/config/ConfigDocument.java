package org.wagtailpin.config;

import java.util.List;

/**
 * Objects that an operator replaces together, such as a complete configuration.
 *
 * <p>The objects become active together, and a later document replaces all of them: an object that
 * it omits is removed.
 *
 * @param name the document's name
 * @param objects the objects, none of them a document
 */
public record ConfigDocument(String name, List<ConfigObject> objects) implements ConfigObject {

  /** Makes the list unmodifiable. */
  public ConfigDocument {
    objects = List.copyOf(objects);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.DOCUMENT;
  }
}
