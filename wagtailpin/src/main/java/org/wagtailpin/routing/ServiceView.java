package org.wagtailpin.routing;

import java.util.AbstractList;
import java.util.List;
import java.util.Optional;
import org.wagtailpin.region.AllowedRegions;

/**
 * The servers of one service under one configuration.
 *
 * @param near the servers of this entry's region
 * @param far the servers of other regions
 * @param settings the tunables in force for the service
 * @param probePath the path of the load probe of its servers, empty if they have none
 */
record ServiceView(
    List<ServerState> near,
    List<ServerState> far,
    RoutingSettings settings,
    Optional<String> probePath) {

  ServiceView {
    near = List.copyOf(near);
    far = List.copyOf(far);
  }

  /** Returns the view of those servers that are in allowed regions. */
  ServiceView within(AllowedRegions regions) {
    return new ServiceView(
        near.stream().filter(state -> regions.allows(state.server().region())).toList(),
        far.stream().filter(state -> regions.allows(state.server().region())).toList(),
        settings,
        probePath);
  }

  int size() {
    return near.size() + far.size();
  }

  /** Returns a view of all servers, the near ones first. */
  List<ServerState> all() {
    return new AbstractList<>() {
      @Override
      public ServerState get(int index) {
        return at(index);
      }

      @Override
      public int size() {
        return ServiceView.this.size();
      }
    };
  }

  ServerState at(int index) {
    return index < near.size() ? near.get(index) : far.get(index - near.size());
  }
}
