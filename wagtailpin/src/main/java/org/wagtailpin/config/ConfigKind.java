package org.wagtailpin.config;

import java.util.Optional;

/** The kinds of object that a ticket can carry. */
public enum ConfigKind {
  SERVICE("service"),
  ROUTE("route"),
  SERVER_SET("serverSet"),
  LINK("link"),
  LIMIT("limit"),
  CALLER_GROUP("callerGroup");

  private final String label;

  ConfigKind(String label) {
    this.label = label;
  }

  /** Returns the name used in tickets and messages. */
  public String label() {
    return label;
  }

  /**
   * Finds a kind by its name in tickets.
   *
   * @param label the name
   * @return the kind, or empty if there is none of that name
   */
  public static Optional<ConfigKind> ofLabel(String label) {
    for (ConfigKind kind : values()) {
      if (kind.label.equals(label)) {
        return Optional.of(kind);
      }
    }
    return Optional.empty();
  }
}
