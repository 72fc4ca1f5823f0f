package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Picks any server with equal chance. */
public final class RandomPicker implements Picker {

  private final UniformRandomProvider random;

  /**
   * Creates a pick.
   *
   * @param random the random source
   */
  public RandomPicker(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public TrackedServer pick(List<TrackedServer> servers) {
    return servers.get(random.nextInt(servers.size()));
  }
}
