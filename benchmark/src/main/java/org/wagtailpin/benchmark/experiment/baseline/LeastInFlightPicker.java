package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Picks the server with the least work of this entry, the first of equals from a random start. */
public final class LeastInFlightPicker implements Picker {

  private final UniformRandomProvider random;

  /**
   * Creates a pick.
   *
   * @param random the random source
   */
  public LeastInFlightPicker(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public TrackedServer pick(List<TrackedServer> servers) {
    int start = random.nextInt(servers.size());
    TrackedServer best = servers.get(start);
    for (int i = 1; i < servers.size(); i++) {
      TrackedServer server = servers.get((start + i) % servers.size());
      if (server.inFlight() < best.inFlight()) {
        best = server;
      }
    }
    return best;
  }
}
