package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Power of two choices: picks the less loaded of two random servers by their last load reports. */
public final class StaleReportPicker implements Picker {

  private final UniformRandomProvider random;

  /**
   * Creates a picker.
   *
   * @param random source of the choices
   */
  public StaleReportPicker(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public TrackedServer pick(List<TrackedServer> servers) {
    TrackedServer one = servers.get(random.nextInt(servers.size()));
    TrackedServer other = servers.get(random.nextInt(servers.size()));
    return one.reportedLoad() <= other.reportedLoad() ? one : other;
  }
}
