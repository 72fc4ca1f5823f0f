package org.wagtailpin.membership;

/**
 * An entry, as other entries know it.
 *
 * @param id its identifier, which a restarted process on the same host keeps
 * @param incarnation a number that is new at each start
 * @param address its IP address
 * @param peerPort the TCP port on which it hears other entries, 1 to 65535
 * @param region the region it stands in
 * @param failureDomain the failure domain it stands in
 * @param leaving whether it is shutting down
 */
public record Member(
    String id,
    long incarnation,
    String address,
    int peerPort,
    String region,
    String failureDomain,
    boolean leaving) {}
