package org.wagtailpin.routing;

import org.wagtailpin.config.ConfigServer;

/** What an entry knows about one backend server; kept over changes of the configuration. */
final class ServerState {

  private volatile ConfigServer server;
  private volatile double tripMillis;
  private volatile double distanceMillisPerKib;
  private volatile boolean saysLeaving;
  private volatile boolean gone;
  private final LoadEstimate load = new LoadEstimate();
  private final ServerHealth health;

  ServerState(ConfigServer server, double tripMillis, long rampStartMillis) {
    this.server = server;
    this.tripMillis = tripMillis;
    this.health = new ServerHealth(rampStartMillis);
  }

  void update(ConfigServer newServer, double newTripMillis) {
    server = newServer;
    tripMillis = newTripMillis;
  }

  ConfigServer server() {
    return server;
  }

  void weighDistance(double millis) {
    distanceMillisPerKib = millis;
  }

  /** Returns what its distance costs for each KiB moved, in milliseconds. */
  double distanceMillisPerKib() {
    return distanceMillisPerKib;
  }

  /** Returns the one-way delay from this entry, in milliseconds. */
  double tripMillis() {
    return tripMillis;
  }

  LoadEstimate load() {
    return load;
  }

  ServerHealth health() {
    return health;
  }

  /** Tells whether the configuration no longer has the server; calls may still run on it. */
  boolean gone() {
    return gone;
  }

  void markGone() {
    gone = true;
  }

  boolean saysLeaving() {
    return saysLeaving;
  }

  void saysLeaving(boolean leaving) {
    saysLeaving = leaving;
  }
}
