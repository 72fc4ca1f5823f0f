package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Picks a server uniformly at random. */
public final class RandomPicker implements Picker {

  private final UniformRandomProvider random;

  /**
   * Creates a picker.
   *
   * @param random source of the choices
   */
  public RandomPicker(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public TrackedServer pick(List<TrackedServer> servers) {
    return servers.get(random.nextInt(servers.size()));
  }
}
