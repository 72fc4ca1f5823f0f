package org.wagtailpin.routing;

/** Closed for a short time after a server has refused a request. */
final class RefusalPauseGate implements ServerGate {

  @Override
  public Kind kind() {
    return Kind.HEALTH;
  }

  @Override
  public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
    return Math.max(0, server.health().pausedUntilMillis() - nowMillis);
  }
}
