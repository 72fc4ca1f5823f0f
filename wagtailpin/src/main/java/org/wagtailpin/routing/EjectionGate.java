package org.wagtailpin.routing;

/** Closed while a server is ejected for the share of its answers that failed. */
final class EjectionGate implements ServerGate {

  @Override
  public Kind kind() {
    return Kind.HEALTH;
  }

  @Override
  public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
    return Math.max(0, server.health().ejectedUntilMillis() - nowMillis);
  }
}
