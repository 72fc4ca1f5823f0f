package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Picks any server with equal chance. */
public final class RandomPick implements Pick {

  private final UniformRandomProvider random;

  /**
   * Creates a pick.
   *
   * @param random the random source
   */
  public RandomPick(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public KnownServer pick(List<KnownServer> servers) {
    return servers.get(random.nextInt(servers.size()));
  }
}
