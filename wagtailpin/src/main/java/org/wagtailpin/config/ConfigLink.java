package org.wagtailpin.config;

/**
 * Delay and budget of the link between two regions. Budgets hold for each direction and over all
 * entries together.
 *
 * @param name the link's name
 * @param regionA one region
 * @param regionB the other region
 * @param oneWayMillis the one-way delay in milliseconds, at least 0
 * @param bytesPerSecond the allowed traffic in bytes per second, at least 0
 * @param probesPerSecond the allowed load probes per second, at least 0
 */
public record ConfigLink(
    String name,
    String regionA,
    String regionB,
    double oneWayMillis,
    long bytesPerSecond,
    double probesPerSecond)
    implements ConfigObject {

  @Override
  public ConfigKind kind() {
    return ConfigKind.LINK;
  }

  /**
   * Returns whether this link joins two regions, given in either order.
   *
   * @param one the name of one region
   * @param other the name of the other region
   */
  public boolean joins(String one, String other) {
    return (regionA.equals(one) && regionB.equals(other))
        || (regionA.equals(other) && regionB.equals(one));
  }
}
