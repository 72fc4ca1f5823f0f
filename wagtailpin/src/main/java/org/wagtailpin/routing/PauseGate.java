package org.wagtailpin.routing;

/** Closed for as long as a server wants no requests, probes included. */
final class PauseGate implements ServerGate {

  private final ServerNotices notices;

  PauseGate(ServerNotices notices) {
    this.notices = notices;
  }

  @Override
  public Kind kind() {
    return Kind.PACE;
  }

  @Override
  public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
    return notices.pauseMillis(server.server(), nowMillis);
  }

  @Override
  public boolean allowsProbe(ServiceState service, ServerState server, double nowMillis) {
    return notices.pauseMillis(server.server(), nowMillis) <= 0;
  }
}
