package org.wagtailpin.config;

import java.util.List;
import org.wagtailpin.json.JsonProblem;

/** Result of reading a ticket. */
public sealed interface TicketReadResult {

  /**
   * The ticket is well-formed; its effect on the state was not checked.
   *
   * @param ticket the ticket
   * @param positions the positions of its objects and removals in the file
   */
  record Read(Ticket ticket, TicketPositions positions) implements TicketReadResult {}

  /**
   * The text is not a valid ticket.
   *
   * @param problems the problems found, at least one
   */
  record Malformed(List<JsonProblem> problems) implements TicketReadResult {}
}
