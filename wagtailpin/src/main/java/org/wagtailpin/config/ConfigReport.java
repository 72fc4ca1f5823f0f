package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Report of an entry's active configuration, for operators.
 *
 * @param digest hash of the merged configuration, sixteen hexadecimal digits
 * @param highestTicket the highest ticket number in it, 0 if there is none
 * @param ticketFloor the number up to which tickets are closed, 0 if none is
 * @param source where the newest state was received from: none, store or peer
 * @param peer the entry that sent it, empty for other sources
 * @param sinceWallMillis when it became active, in milliseconds since 1970-01-01T00:00:00Z
 * @param objects the active objects and the retained removals
 */
public record ConfigReport(
    String digest,
    long highestTicket,
    long ticketFloor,
    String source,
    String peer,
    long sinceWallMillis,
    List<ObjectReport> objects) {

  /**
   * An object and the ticket that last changed it.
   *
   * @param kind the label of its kind
   * @param name the name, unique within the kind
   * @param ticket the number of the ticket, or the ticket floor if that is higher
   * @param removed whether the ticket removed the object
   */
  public record ObjectReport(String kind, String name, long ticket, boolean removed) {}

  /** Makes the list unmodifiable. */
  public ConfigReport {
    objects = List.copyOf(objects);
  }

  /**
   * Creates a report of a merged state.
   *
   * @param merged the state; copied
   * @param origin where its newest part was received from
   */
  public static ConfigReport of(MergedConfig merged, ConfigOrigin origin) {
    List<ObjectReport> objects = new ArrayList<>();
    for (VersionedObject object : merged.objects()) {
      if (object.id().kind().isAllowedInTickets()) {
        objects.add(reportOf(object));
      }
    }
    return new ConfigReport(
        digestText(merged),
        merged.highestTicket(),
        merged.floor(),
        origin.source().label(),
        origin.peerName(),
        origin.sinceWallMillis(),
        objects);
  }

  private static ObjectReport reportOf(VersionedObject object) {
    return new ObjectReport(
        object.id().kind().label(), object.id().name(), object.ticket(), object.value().isEmpty());
  }

  /** Returns the digest of a merged state as sixteen hexadecimal digits, as in reports. */
  public static String digestText(MergedConfig merged) {
    return new ContentHash(merged.digest()).toString();
  }

  /**
   * Returns whether each object of a ticket has the state of that ticket or of a higher one.
   *
   * @param ticket a ticket that was accepted
   */
  public boolean includes(Ticket ticket) {
    return ticket.states().stream().allMatch(this::includes);
  }

  private boolean includes(VersionedObject state) {
    for (ObjectReport object : objects) {
      if (object.kind().equals(state.id().kind().label())
          && object.name().equals(state.id().name())) {
        return object.ticket() >= state.ticket();
      }
    }
    // An object missing from the state was removed by a ticket that has been closed since.
    return ticketFloor >= state.ticket();
  }
}
