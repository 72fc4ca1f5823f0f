package org.wagtailpin.benchmark.experiment.baseline;

import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.routing.LoadReport;

/** A server with the work this entry has there and its last report. For use by one thread. */
public final class KnownServer {

  private final ConfigServer server;
  private int inFlight;
  private int reported;

  KnownServer(ConfigServer server) {
    this.server = server;
  }

  ConfigServer server() {
    return server;
  }

  /** Returns this entry's attempts in flight there. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the work that its last report told of, 0 before the first. */
  public int reported() {
    return reported;
  }

  void began() {
    inFlight++;
  }

  void ended() {
    inFlight--;
  }

  void reported(LoadReport report) {
    reported = report.inFlight() + report.queued();
  }
}
