package org.wagtailpin.membership;

/**
 * Summary of an entry's configuration, sent with each heartbeat and each acknowledgement.
 *
 * @param digest hash of all objects in force
 * @param highestTicket highest ticket number among these objects, 0 if there are none
 */
public record ConfigStamp(long digest, long highestTicket) {}
