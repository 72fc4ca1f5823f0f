package org.wagtailpin.daemon;

import org.wagtailpin.operator.StatusPart;

/** Part of the status page that tells what the entry itself does. */
final class EntryStatusPart implements StatusPart {

  /**
   * The part's content.
   *
   * @param id the entry's identifier
   * @param region the region it stands in
   * @param failureDomain the failure domain it stands in
   * @param ready whether it takes callers' requests
   * @param leaving whether it has begun to leave
   * @param calls how many calls are in flight
   * @param backendConnections how many connections to backend servers are open
   * @param droppedLines how many log lines were dropped because their queue was full
   */
  record EntryStatus(
      String id,
      String region,
      String failureDomain,
      boolean ready,
      boolean leaving,
      int calls,
      int backendConnections,
      long droppedLines) {}

  private final EntryNode node;

  EntryStatusPart(EntryNode node) {
    this.node = node;
  }

  @Override
  public String name() {
    return "entry";
  }

  @Override
  public EntryStatus current() {
    EntrySettings settings = node.settings();
    return new EntryStatus(
        settings.id(),
        settings.region(),
        settings.failureDomain(),
        node.ready(),
        node.leaving(),
        node.callsInFlight(),
        node.traffic().backendConnections(),
        node.events().dropped());
  }
}
