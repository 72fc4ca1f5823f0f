package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;

/** Picks the servers one after another. */
public final class RoundRobinPicker implements Picker {

  private int next;

  /**
   * Creates a pick.
   *
   * @param first the number of the first server, so that entries do not start alike
   */
  public RoundRobinPicker(int first) {
    this.next = first;
  }

  @Override
  public TrackedServer pick(List<TrackedServer> servers) {
    return servers.get(Math.floorMod(next++, servers.size()));
  }
}
