package org.wagtailpin.benchmark.experiment.baseline;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wagtailpin.config.ConfigServer;
import org.wagtailpin.config.ConfigSource;
import org.wagtailpin.routing.AttemptHistory;
import org.wagtailpin.routing.AttemptReport;
import org.wagtailpin.routing.CallDescriptor;
import org.wagtailpin.routing.Grant;
import org.wagtailpin.routing.Locality;
import org.wagtailpin.routing.Placement;
import org.wagtailpin.routing.PlacementHandle;
import org.wagtailpin.routing.PlacementListener;

/**
 * Placement that sends each call at once to the server that a {@link Pick} names among those of the
 * entry's region. For use by one thread.
 */
public final class PickPlacement implements Placement {

  private final ConfigSource config;
  private final Locality locality;
  private final Pick pick;
  private final Map<String, List<KnownServer>> services = new HashMap<>();

  /**
   * Creates a placement.
   *
   * @param config the configuration, which does not change
   * @param locality where the entry stands
   * @param pick names the servers
   */
  public PickPlacement(ConfigSource config, Locality locality, Pick pick) {
    this.config = config;
    this.locality = locality;
    this.pick = pick;
  }

  @Override
  public PlacementHandle request(
      CallDescriptor call, AttemptHistory history, PlacementListener listener) {
    KnownServer server =
        pick.pick(services.computeIfAbsent(call.route().service(), this::nearServers));
    server.began();
    listener.granted(new PickGrant(server));
    return () -> {};
  }

  private List<KnownServer> nearServers(String service) {
    return config.current().servers(service).stream()
        .filter(server -> server.region().equals(locality.region()))
        .map(KnownServer::new)
        .toList();
  }

  private record PickGrant(KnownServer known) implements Grant {

    @Override
    public ConfigServer server() {
      return known.server();
    }

    @Override
    public void finished(AttemptReport report) {
      known.ended();
      report.load().ifPresent(known::reported);
    }
  }
}
