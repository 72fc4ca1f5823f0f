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
 * Placement that sends each call at once, without queueing, to the server chosen by a {@link
 * Picker} among those of the entry's region. For use by one thread.
 */
public final class PickerPlacement implements Placement {

  private final ConfigSource config;
  private final Locality locality;
  private final Picker picker;
  private final Map<String, List<TrackedServer>> services = new HashMap<>();

  /**
   * Creates a placement.
   *
   * @param config the configuration, which does not change
   * @param locality region and failure domain of the entry
   * @param picker chooses the server of each call
   */
  public PickerPlacement(ConfigSource config, Locality locality, Picker picker) {
    this.config = config;
    this.locality = locality;
    this.picker = picker;
  }

  @Override
  public PlacementHandle request(
      CallDescriptor call, AttemptHistory history, PlacementListener listener) {
    TrackedServer server =
        picker.pick(services.computeIfAbsent(call.route().service(), this::nearServers));
    server.attemptStarted();
    listener.granted(new PickGrant(server));
    return () -> {};
  }

  private List<TrackedServer> nearServers(String service) {
    return config.current().servers(service).stream()
        .filter(server -> server.region().equals(locality.region()))
        .map(TrackedServer::new)
        .toList();
  }

  private record PickGrant(TrackedServer known) implements Grant {

    @Override
    public ConfigServer server() {
      return known.server();
    }

    @Override
    public void finished(AttemptReport report) {
      known.attemptFinished();
      report.load().ifPresent(known::recordReport);
    }
  }
}
