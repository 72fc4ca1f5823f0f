package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;

/** Picks the servers in turn. */
public final class RoundRobinPicker implements Picker {

  private int next;

  /**
   * Creates a picker.
   *
   * @param first the index of the first server, different by entry so that entries do not move in
   *     step
   */
  public RoundRobinPicker(int first) {
    this.next = first;
  }

  @Override
  public TrackedServer pick(List<TrackedServer> servers) {
    return servers.get(Math.floorMod(next++, servers.size()));
  }
}
