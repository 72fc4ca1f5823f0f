package org.wagtailpin.benchmark.experiment.baseline;

import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.routing.LoadReport;

/** A server with this entry's attempts in flight and its last load report. Not thread-safe. */
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

  /** Returns the number of this entry's attempts in flight to the server. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns the calls in flight and queued by the last load report, 0 before the first. */
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
