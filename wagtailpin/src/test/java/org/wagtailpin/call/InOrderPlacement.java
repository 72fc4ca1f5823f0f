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

  InOrderPlacement(List<ConfigServer> servers) {
    this.servers = servers;
  }

  public List<AttemptReport> reports() {
    return reports;
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
      public void finished(AttemptReport report) {
        reports.add(report);
      }
    };
  }
}
