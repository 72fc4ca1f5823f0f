package org.wagtailpin.config;

import java.util.Optional;

/** The kinds of object in the merged configuration. */
public enum ConfigKind {
  SERVICE("service"),
  ROUTE("route"),
  SERVER_SET("serverSet"),
  LINK("link"),
  LIMIT("limit"),
  CALLER_GROUP("callerGroup"),
  /** Objects that are replaced together; read from the operator's document, never in a ticket. */
  DOCUMENT("document"),
  /** Part of the operator's document, never in a ticket, since it contains secret keys. */
  CUSTOMER("customer"),
  /** An evacuated failure domain; read from a store key of its own, never in a ticket. */
  EVACUATION("evacuation"),
  /** The number up to which tickets are closed; written by compaction, never in a ticket. */
  TICKET_FLOOR("ticketFloor");

  private final String label;

  ConfigKind(String label) {
    this.label = label;
  }

  /** Returns the name used in tickets, in the shared state and in messages. */
  public String label() {
    return label;
  }

  /** Returns whether a ticket may contain objects of this kind. */
  public boolean isAllowedInTickets() {
    return switch (this) {
      case SERVICE, ROUTE, SERVER_SET, LINK, LIMIT, CALLER_GROUP -> true;
      case DOCUMENT, CUSTOMER, EVACUATION, TICKET_FLOOR -> false;
    };
  }

  /**
   * Finds a kind by its label.
   *
   * @param label the label, case-sensitive
   * @return the kind, or empty if no kind has that label
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
