package org.wagtailpin.call;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.error.Fault;
import org.wagtailpin.error.Peer;
import org.wagtailpin.error.Step;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptReport;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.PlacementHandle;
import org.wagtailpin.routing.PlacementListener;
import org.wagtailpin.routing.Refusal;

/** Placement that immediately grants the first server that the call has not tried yet. */
public final class InOrderPlacement implements Placement {

  private final List<ConfigServer> servers;
  private final List<AttemptReport> reports = new CopyOnWriteArrayList<>();

  private final List<String> unansweredServers = new CopyOnWriteArrayList<>();
  private volatile double silenceMillis = Double.POSITIVE_INFINITY;
  private volatile Runnable whenUnanswered = () -> {};

  InOrderPlacement(List<ConfigServer> servers) {
    this.servers = servers;
  }

  public List<AttemptReport> reports() {
    return reports;
  }

  /** Sets the time without an answer from which on attempts count as unanswered. */
  public void silenceMillis(double millis) {
    silenceMillis = millis;
  }

  /** Sets what is run when an attempt counts as unanswered. */
  public void whenUnanswered(Runnable action) {
    whenUnanswered = action;
  }

  /** Returns the servers of the attempts that counted as unanswered, in order. */
  public List<String> unansweredServers() {
    return unansweredServers;
  }

  @Override
  public PlacementHandle request(
      CallDescriptor call, AttemptHistory history, PlacementListener listener) {
    for (ConfigServer server : servers) {
      if (!server.leaving() && !history.servers().contains(server.name())) {
        listener.granted(grant(server));
        return () -> {};
      }
    }
    Fault fault = new Fault(Step.PICK_SERVER, Peer.SELF, "", "no server is left");
    listener.refused(new Refusal(fault, 1));
    return () -> {};
  }

  private Grant grant(ConfigServer server) {
    return new Grant() {
      @Override
      public ConfigServer server() {
        return server;
      }

      @Override
      public double silenceMillis() {
        return silenceMillis;
      }

      @Override
      public void unanswered() {
        unansweredServers.add(server.name());
        whenUnanswered.run();
      }

      @Override
      public void finished(AttemptReport report) {
        reports.add(report);
      }
    };
  }
}
