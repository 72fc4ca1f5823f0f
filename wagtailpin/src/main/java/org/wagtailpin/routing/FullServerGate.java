package org.wagtailpin.routing;

/**
 * Closed for a time after a server has left a request unanswered, unless it has reported a free
 * slot since.
 */
final class FullServerGate implements ServerGate {

  private final HeldServers full;

  FullServerGate(HeldServers full) {
    this.full = full;
  }

  @Override
  public Kind kind() {
    return Kind.HEALTH;
  }

  @Override
  public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
    double millis = full.millisUntilReleased(server.server(), nowMillis);
    if (millis <= 0 || reportsFreeSlot(server)) {
      return 0;
    }
    return millis;
  }

  private boolean reportsFreeSlot(ServerState server) {
    LoadEstimate load = server.load();
    return load.lastReportMillis() > full.heldAtMillis(server.server())
        && load.lastOtherLoad() + load.inFlight() < server.server().slots();
  }
}
