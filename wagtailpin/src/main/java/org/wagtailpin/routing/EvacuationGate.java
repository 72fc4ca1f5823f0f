package org.wagtailpin.routing;

/** Closed while the operator has a server's failure domain evacuated. */
final class EvacuationGate implements ServerGate {

  @Override
  public Kind kind() {
    return Kind.AVAILABILITY;
  }

  @Override
  public double millisUntilOpen(ServiceState service, ServerState server, double nowMillis) {
    return server.evacuated() ? UNKNOWN_MILLIS : 0;
  }
}
