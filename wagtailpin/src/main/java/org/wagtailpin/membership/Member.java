package org.wagtailpin.membership;

/**
 * Description of an entry that is known to all entries of the fleet.
 *
 * @param id its identifier, kept when its process is restarted on the same host
 * @param incarnation a number that is new at each start of its process
 * @param address its IP address
 * @param peerPort the TCP port on which it accepts other entries, 1 to 65535
 * @param region the region in which it runs
 * @param failureDomain the failure domain in which it runs
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
