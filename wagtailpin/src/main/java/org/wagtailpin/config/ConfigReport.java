package org.wagtailpin.config;

import java.util.ArrayList;
import java.util.List;

/**
 * What an entry tells operators about the configuration that it has in force.
 *
 * @param digest hash of the merged configuration
 * @param highestTicket the highest ticket number in it, 0 if there is none
 * @param ticketFloor the number up to which tickets are closed, 0 if none is
 * @param source where the newest state came from: none, store or peer
 * @param peer the entry that told it, empty for other sources
 * @param sinceWallMillis since when it is in force, in milliseconds since 1970-01-01T00:00:00Z
 * @param objects the objects in force and the removals
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
   * An object and the ticket that gave its state.
   *
   * @param kind the kind, as in tickets
   * @param name the name
   * @param ticket the number of the ticket
   * @param removed whether the ticket removed it
   */
  public record ObjectReport(String kind, String name, long ticket, boolean removed) {}

  /** Copies the list. */
  public ConfigReport {
    objects = List.copyOf(objects);
  }

  /**
   * Reports a merged state.
   *
   * @param merged the state
   * @param origin where its newest part came from
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

  /** Returns the digest of a merged state in the form of reports. */
  public static String digestText(MergedConfig merged) {
    return new ContentHash(merged.digest()).toString();
  }

  /**
   * Tells whether the state includes all of a ticket's effects.
   *
   * @param ticket the ticket
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
    // An object that the state does not name was removed by a ticket that is closed by now.
    return ticketFloor >= state.ticket();
  }
}
