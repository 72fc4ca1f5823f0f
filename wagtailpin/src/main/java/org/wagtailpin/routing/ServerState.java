package org.wagtailpin.routing;

import java.util.Optional;
import org.wagtailpin.config.ConfigServer;

/** An entry's state of one backend server; kept when the configuration changes. */
final class ServerState {

  private volatile ConfigServer server;
  private volatile double networkDelayMillis;
  private volatile double transferMillisPerKib;
  private volatile boolean reportsLeaving;
  private volatile boolean removed;
  private volatile boolean evacuated;
  private volatile Optional<ServerLimit> requestLimit = Optional.empty();
  private final LoadEstimate load = new LoadEstimate();
  private final ColdState cold = new ColdState();
  private final ServerHealth health;

  ServerState(ConfigServer server, double networkDelayMillis, long rampStartMillis) {
    this.server = server;
    this.networkDelayMillis = networkDelayMillis;
    this.health = new ServerHealth(rampStartMillis);
  }

  void update(ConfigServer newServer, double newNetworkDelayMillis) {
    server = newServer;
    networkDelayMillis = newNetworkDelayMillis;
  }

  ConfigServer server() {
    return server;
  }

  void updateTransferCost(double millisPerKib) {
    transferMillisPerKib = millisPerKib;
  }

  /** Returns the cost of its distance per KiB transferred, in milliseconds. */
  double transferMillisPerKib() {
    return transferMillisPerKib;
  }

  /** Returns the one-way network delay from this entry, in milliseconds. */
  double networkDelayMillis() {
    return networkDelayMillis;
  }

  LoadEstimate load() {
    return load;
  }

  ColdState cold() {
    return cold;
  }

  ServerHealth health() {
    return health;
  }

  /** Returns the limit of requests that the server names, empty if it names none. */
  Optional<ServerLimit> requestLimit() {
    return requestLimit;
  }

  void requestLimit(Optional<ServerLimit> limit) {
    requestLimit = limit;
  }

  /** Returns whether the configuration no longer has the server; calls may still run on it. */
  boolean removed() {
    return removed;
  }

  void markRemoved() {
    removed = true;
  }

  /** Returns whether the server's failure domain is evacuated, so that it gets no new work. */
  boolean evacuated() {
    return evacuated;
  }

  /**
   * Sets whether the server's failure domain is evacuated. From the end of an evacuation on, the
   * server's work ramps up, within the limit of a cold server.
   *
   * @param now whether it is evacuated
   * @param nowMillis the current time
   */
  void evacuated(boolean now, long nowMillis) {
    if (evacuated && !now) {
      health.rampFrom(nowMillis);
      cold.returned(nowMillis);
    }
    evacuated = now;
  }

  /** Returns whether the server's last load report says that it is leaving. */
  boolean reportsLeaving() {
    return reportsLeaving;
  }

  void reportsLeaving(boolean leaving) {
    reportsLeaving = leaving;
  }
}
