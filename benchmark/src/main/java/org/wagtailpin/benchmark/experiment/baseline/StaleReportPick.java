package org.wagtailpin.benchmark.experiment.baseline;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Picks the better of two random servers by their last reports, however old. */
public final class StaleReportPick implements Pick {

  private final UniformRandomProvider random;

  /**
   * Creates a pick.
   *
   * @param random the random source
   */
  public StaleReportPick(UniformRandomProvider random) {
    this.random = random;
  }

  @Override
  public KnownServer pick(List<KnownServer> servers) {
    KnownServer one = servers.get(random.nextInt(servers.size()));
    KnownServer other = servers.get(random.nextInt(servers.size()));
    return one.reported() <= other.reported() ? one : other;
  }
}
