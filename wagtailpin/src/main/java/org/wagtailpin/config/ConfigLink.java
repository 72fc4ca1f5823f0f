package org.wagtailpin.config;

/**
 * The budget of the link between two regions, each way and over all entries.
 *
 * @param name the link's name
 * @param regionA one region
 * @param regionB the other region
 * @param oneWayMillis the one-way delay in milliseconds, at least 0
 * @param bytesPerSecond the traffic allowed, in bytes a second, at least 0
 * @param probesPerSecond the load probes allowed, a second, at least 0
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
   * Tells whether this link joins two regions, in either order.
   *
   * @param one a region
   * @param other a region
   */
  public boolean joins(String one, String other) {
    return (regionA.equals(one) && regionB.equals(other))
        || (regionA.equals(other) && regionB.equals(one));
  }
}
