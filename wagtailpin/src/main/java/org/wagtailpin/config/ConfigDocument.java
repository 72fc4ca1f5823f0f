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
 * @param version the number that the operator gave this state, 0 if none; it rises with each change
 */
public record ConfigDocument(String name, List<ConfigObject> objects, long version)
    implements ConfigObject {

  /** Makes the list unmodifiable. */
  public ConfigDocument {
    objects = List.copyOf(objects);
  }

  /** Creates a document to which the operator gave no version. */
  public ConfigDocument(String name, List<ConfigObject> objects) {
    this(name, objects, 0);
  }

  @Override
  public ConfigKind kind() {
    return ConfigKind.DOCUMENT;
  }
}
