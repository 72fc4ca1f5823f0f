package org.wagtailpin.config;

import java.util.Comparator;

/**
 * Identity of a configuration object.
 *
 * @param kind what it is
 * @param name its name, unique within the kind, 1 to 128 characters
 */
public record ObjectId(ConfigKind kind, String name) implements Comparable<ObjectId> {

  private static final Comparator<ObjectId> ORDER =
      Comparator.comparing(ObjectId::kind).thenComparing(ObjectId::name);

  @Override
  public int compareTo(ObjectId other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return kind.label() + "/" + name;
  }
}
