package org.wagtailpin.config;

import java.util.Comparator;

/**
 * Identity of a configuration object.
 *
 * @param kind the kind of object
 * @param name its name, unique within the kind, 1 to 128 characters
 */
public record ObjectId(ConfigKind kind, String name) implements Comparable<ObjectId> {

  private static final Comparator<ObjectId> ORDER =
      Comparator.comparing(ObjectId::kind).thenComparing(ObjectId::name);

  @Override
  public int compareTo(ObjectId other) {
    return ORDER.compare(this, other);
  }

  // Explicit because the methods generated for records are linked at run time on first use, which
  // makes that first use slow.
  @Override
  public boolean equals(Object other) {
    return other instanceof ObjectId id && kind == id.kind && name.equals(id.name);
  }

  @Override
  public int hashCode() {
    return 31 * kind.hashCode() + name.hashCode();
  }

  @Override
  public String toString() {
    return kind.label() + "/" + name;
  }
}
