package org.wagtailpin.config;

import java.util.Optional;

/** The kinds of object that the merged configuration holds. */
public enum ConfigKind {
  SERVICE("service"),
  ROUTE("route"),
  SERVER_SET("serverSet"),
  LINK("link"),
  LIMIT("limit"),
  CALLER_GROUP("callerGroup"),
  /** Objects that are replaced together; made from an operator's document, never in a ticket. */
  DOCUMENT("document"),
  /** The number up to which tickets are closed; made by compaction, never part of a ticket. */
  TICKET_FLOOR("ticketFloor");

  private final String label;

  ConfigKind(String label) {
    this.label = label;
  }

  /** Returns the name used in tickets and messages. */
  public String label() {
    return label;
  }

  /** Tells whether a ticket can carry objects of this kind. */
  public boolean isAllowedInTickets() {
    return this != TICKET_FLOOR && this != DOCUMENT;
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
