package org.wagtailpin.config;

import java.util.List;
import org.wagtailpin.json.JsonProblem;

/** How the reading of a ticket ended. */
public sealed interface TicketReadResult {

  /**
   * The ticket is well formed.
   *
   * @param ticket the ticket
   * @param positions where it names its objects
   */
  record Read(Ticket ticket, TicketPositions positions) implements TicketReadResult {}

  /**
   * The text is not a ticket.
   *
   * @param problems the mistakes in it, at least one
   */
  record Malformed(List<JsonProblem> problems) implements TicketReadResult {}
}
