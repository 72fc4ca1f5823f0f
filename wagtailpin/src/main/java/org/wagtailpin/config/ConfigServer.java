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
 */
public record ConfigServer(
    String name,
    String address,
    int port,
    String region,
    String failureDomain,
    int slots,
    int connections,
    boolean leaving) {}
