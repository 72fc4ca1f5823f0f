package org.wagtailpin.daemon;

import org.wagtailpin.operator.StatusPart;

/** Part of the status page that shows the state of the entry itself. */
final class EntryStatusPart implements StatusPart {

  /**
   * State of the entry, written as JSON under the names of the components.
   *
   * @param id the entry's identifier
   * @param region the entry's region
   * @param failureDomain the entry's failure domain
   * @param ready whether the entry has a configuration and is not leaving
   * @param leaving whether the entry has begun to leave
   * @param calls number of calls in flight
   * @param backendConnections number of open connections to backend servers
   * @param droppedLines number of log lines dropped because their queue was full
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
