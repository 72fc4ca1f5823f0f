package org.wagtailpin.routing;

/** Closed while a server is leaving or removed, by whichever source says so. */
final class LeavingGate implements ServerGate {

  private final LeavingHosts leavingHosts;

  LeavingGate(LeavingHosts leavingHosts) {
    this.leavingHosts = leavingHosts;
  }

  @Override
  public Kind kind() {
    return Kind.AVAILABILITY;
  }

  @Override
  public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
    boolean leaving =
        server.removed()
            || server.server().leaving()
            || server.reportsLeaving()
            || leavingHosts.isLeaving(server.server().address());
    return leaving ? UNKNOWN_MILLIS : 0;
  }
}
