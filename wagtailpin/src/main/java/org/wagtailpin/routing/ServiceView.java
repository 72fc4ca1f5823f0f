package org.wagtailpin.routing;

import java.util.List;

/**
 * The servers of one service under one configuration.
 *
 * @param near the servers of this entry's region
 * @param far the servers of other regions
 * @param settings the named constants in force
 */
record ServiceView(List<ServerState> near, List<ServerState> far, RoutingSettings settings) {

  ServiceView {
    near = List.copyOf(near);
    far = List.copyOf(far);
  }

  int size() {
    return near.size() + far.size();
  }

  ServerState at(int index) {
    return index < near.size() ? near.get(index) : far.get(index - near.size());
  }
}
