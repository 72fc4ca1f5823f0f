package org.wagtailpin.config;

import java.util.List;
import org.wagtailpin.error.Fault;

/** How the acceptance of a ticket ended. */
public sealed interface TicketResult {

  /**
   * The ticket is in the shared state, written by this attempt.
   *
   * @param ticket the ticket's number
   * @param kept the objects of the ticket that keep the state of a higher ticket
   */
  record Accepted(long ticket, List<VersionedObject> kept) implements TicketResult {}

  /**
   * The same ticket was accepted before; nothing was changed.
   *
   * @param ticket the ticket's number
   * @param kept the objects of the ticket that have the state of a higher ticket
   */
  record AcceptedBefore(long ticket, List<VersionedObject> kept) implements TicketResult {}

  /**
   * A ticket of this number but with other content was accepted; nothing was changed.
   *
   * @param ticket the number
   * @param offered the content of this ticket
   * @param accepted the content of the accepted one
   */
  record NumberTaken(long ticket, ContentHash offered, ContentHash accepted)
      implements TicketResult {}

  /**
   * The number is closed: what was accepted under it is no longer known; nothing was changed.
   *
   * @param ticket the number
   * @param floor the highest closed number
   */
  record NumberClosed(long ticket, long floor) implements TicketResult {}

  /**
   * The state that the ticket would make is wrong; nothing was changed.
   *
   * @param ticket the ticket's number
   * @param problems what would be wrong, at least one
   */
  record Refused(long ticket, List<TicketProblem> problems) implements TicketResult {}

  /**
   * A state that the ticket was made from has changed; nothing was changed.
   *
   * @param ticket the ticket's number
   * @param basis the state that it was made from
   */
  record BasisChanged(long ticket, VersionedObject basis) implements TicketResult {}

  /**
   * The state that the ticket would make does not fit the store; nothing was changed.
   *
   * @param ticket the ticket's number
   * @param bytes the size of the state, in bytes
   * @param maxBytes the greatest size, in bytes
   */
  record TooLarge(long ticket, int bytes, int maxBytes) implements TicketResult {}

  /**
   * The store could not be used; it is known that nothing was changed.
   *
   * @param ticket the ticket's number
   * @param fault why
   */
  record NotAccepted(long ticket, Fault fault) implements TicketResult {}

  /**
   * The ticket may have been accepted, or may still be; offering the same ticket again settles it.
   *
   * @param ticket the ticket's number
   * @param fault why
   */
  record Unknown(long ticket, Fault fault) implements TicketResult {}

  /** Returns the ticket's number. */
  long ticket();
}
