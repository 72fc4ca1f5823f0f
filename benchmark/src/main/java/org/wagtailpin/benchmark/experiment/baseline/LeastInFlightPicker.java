package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Picks the server with the fewest attempts of this entry in flight. Ties go to the first server
 * from a random starting position.
 */
public final class LeastInFlightPicker implements Picker {

  private final UniformRandomProvider random;

  /**
   * Creates a picker.
   *
   * @param random source of the starting positions
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
