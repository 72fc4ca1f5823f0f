package org.wagtailpin.config;

import java.util.List;
import org.wagtailpin.error.Fault;

/** Result of an attempt to accept a ticket. */
public sealed interface TicketResult {

  /**
   * The ticket was accepted: this attempt wrote it to the shared state.
   *
   * @param ticket the ticket's number
   * @param kept the states that the ticket did not replace because a higher ticket set them
   */
  record Accepted(long ticket, List<VersionedObject> kept) implements TicketResult {}

  /**
   * The same ticket was accepted by an earlier attempt; nothing was changed.
   *
   * @param ticket the ticket's number
   * @param kept the states of the ticket's objects that a higher ticket has set
   */
  record AcceptedBefore(long ticket, List<VersionedObject> kept) implements TicketResult {}

  /**
   * A ticket with the same number but other content was accepted; nothing was changed.
   *
   * @param ticket the number
   * @param offered the content hash of this ticket
   * @param accepted the content hash of the accepted ticket
   */
  record NumberTaken(long ticket, ContentHash offered, ContentHash accepted)
      implements TicketResult {}

  /**
   * The number is at or below the ticket floor, so it is no longer known whether a ticket with this
   * number was accepted; nothing was changed.
   *
   * @param ticket the number
   * @param floor the highest closed number
   */
  record NumberClosed(long ticket, long floor) implements TicketResult {}

  /**
   * The ticket would make the state inconsistent; nothing was changed.
   *
   * @param ticket the ticket's number
   * @param problems the inconsistencies, at least one
   */
  record Refused(long ticket, List<TicketProblem> problems) implements TicketResult {}

  /**
   * An object that the ticket is based on has changed since it was read; the ticket was not
   * applied.
   *
   * @param ticket the ticket's number
   * @param basis the state of the object as it was read
   */
  record BasisChanged(long ticket, VersionedObject basis) implements TicketResult {}

  /**
   * The resulting shared state would exceed the size limit of a store value; nothing was changed.
   *
   * @param ticket the ticket's number
   * @param bytes the encoded size of the state, in bytes
   * @param maxBytes the maximum size, in bytes
   */
  record TooLarge(long ticket, int bytes, int maxBytes) implements TicketResult {}

  /**
   * The ticket was not accepted, because of store faults or conflicts until the deadline; it is
   * known that nothing was changed.
   *
   * @param ticket the ticket's number
   * @param fault the fault of the last try
   */
  record NotAccepted(long ticket, Fault fault) implements TicketResult {}

  /**
   * The outcome is unknown: the ticket may have been accepted, or an outstanding write may still
   * take effect. Offering the same ticket again resolves it.
   *
   * @param ticket the ticket's number
   * @param fault the fault of the last try
   */
  record Unknown(long ticket, Fault fault) implements TicketResult {}

  /** Returns the ticket's number. */
  long ticket();
}
