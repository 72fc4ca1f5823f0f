package org.wagtailpin.config;

/**
 * One backend server.
 *
 * @param name the server's name, unique over all sets
 * @param address its IP address
 * @param port its TCP port, 1 to 65535
 * @param region the region it stands in
 * @param failureDomain the failure domain it stands in
 * @param slots how many requests it runs at once, over all entries, at least 1
 * @param connections how many connections it takes, over all entries, at least 1
 * @param leaving whether it is to get no new work
 * @param startedMillis when it was started, in milliseconds since 1970, 0 if that isn't known; a
 *     server that starts again under its name keeps nothing of before
 * @param slowStartMillis how long it is slow after its start, in milliseconds
 */
public record ConfigServer(
    String name,
    String address,
    int port,
    String region,
    String failureDomain,
    int slots,
    int connections,
    boolean leaving,
    long startedMillis,
    int slowStartMillis) {

  /**
   * Returns this server with a bound on its connections.
   *
   * @param maxConnections the most connections over all entries, at least 1
   */
  public ConfigServer withMaxConnections(int maxConnections) {
    return new ConfigServer(
        name,
        address,
        port,
        region,
        failureDomain,
        slots,
        Math.min(maxConnections, connections),
        leaving,
        startedMillis,
        slowStartMillis);
  }

  /** Connections of a server that states no bound of its own. */
  public static final int UNLIMITED_CONNECTIONS = 1_000_000;

  /** Creates a server of which no start is known. */
  public ConfigServer(
      String name,
      String address,
      int port,
      String region,
      String failureDomain,
      int slots,
      int connections,
      boolean leaving) {
    this(name, address, port, region, failureDomain, slots, connections, leaving, 0, 0);
  }
}
