package org.wagtailpin.config;

/**
 * A backend server.
 *
 * @param name the server's name, unique over all sets
 * @param address its IP address
 * @param port its TCP port, 1 to 65535
 * @param region the region it is in
 * @param failureDomain the failure domain it is in
 * @param slots the number of requests that it runs concurrently, over all entries, from 1 to {@link
 *     #MAX_SLOTS}
 * @param connections the maximum number of connections, over all entries, at least 1
 * @param leaving whether it gets no new work
 * @param startedMillis when it was started, in milliseconds since 1970-01-01T00:00:00Z, 0 if
 *     unknown; nothing is carried over from an earlier start under the same name
 * @param slowStartMillis for how long it is cold from its registration on, in milliseconds, from 0
 *     to {@link #MAX_SLOW_START_MILLIS}
 * @param sequence the number of the registration that this was read from, which rises from its
 *     start on; 0 if the server does not register itself
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
    int slowStartMillis,
    long sequence) {

  /** Maximum value of {@link #slots}. */
  public static final int MAX_SLOTS = 100_000;

  /** Maximum value of {@link #slowStartMillis}, in milliseconds. */
  public static final int MAX_SLOW_START_MILLIS = 3_600_000;

  /** Value of {@link #connections} for a server that states no maximum of its own. */
  public static final int UNLIMITED_CONNECTIONS = 1_000_000;

  /**
   * Returns a copy of this server whose maximum number of connections is reduced to a bound.
   *
   * @param maxConnections the maximum number of connections over all entries, at least 1
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
        slowStartMillis,
        sequence);
  }

  /** Creates a server whose start time is unknown and that has no slow start. */
  public ConfigServer(
      String name,
      String address,
      int port,
      String region,
      String failureDomain,
      int slots,
      int connections,
      boolean leaving) {
    this(name, address, port, region, failureDomain, slots, connections, leaving, 0, 0, 0);
  }
}
