package org.wagtailpin.benchmark.experiment.baseline;

import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.routing.LoadReport;

/** A server with the work this entry has there and its last report. For use by one thread. */
public final class TrackedServer {

  private final ConfigServer server;
  private int inFlight;
  private int reportedLoad;

  TrackedServer(ConfigServer server) {
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
  public int reportedLoad() {
    return reportedLoad;
  }

  void attemptStarted() {
    inFlight++;
  }

  void attemptFinished() {
    inFlight--;
  }

  void recordReport(LoadReport report) {
    reportedLoad = report.inFlight() + report.queued();
  }
}
