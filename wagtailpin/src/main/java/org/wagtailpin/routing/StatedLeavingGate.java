package org.wagtailpin.routing;

/** Closed from the first answer on in which a server states that it is leaving. */
final class StatedLeavingGate implements ServerGate {

  private final ServerNotices notices;

  StatedLeavingGate(ServerNotices notices) {
    this.notices = notices;
  }

  @Override
  public Kind kind() {
    return Kind.AVAILABILITY;
  }

  @Override
  public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
    return notices.isLeaving(server.server()) ? UNKNOWN_MILLIS : 0;
  }
}
