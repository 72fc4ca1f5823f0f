package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Picks the server with the least work of this entry, the first of equals from a random start. */
public final class LeastInFlightPick implements Pick {

  private final UniformRandomProvider random;

  /**
   * Creates a pick.
   *
   * @param random the random source
   */
  public LeastInFlightPick(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public KnownServer pick(List<KnownServer> servers) {
    int start = random.nextInt(servers.size());
    KnownServer best = servers.get(start);
    for (int i = 1; i < servers.size(); i++) {
      KnownServer server = servers.get((start + i) % servers.size());
      if (server.inFlight() < best.inFlight()) {
        best = server;
      }
    }
    return best;
  }
}
