package org.wagtailpin.membership;

/**
 * What a heartbeat tells of the sender's configuration.
 *
 * @param digest the hash of all objects in force
 * @param highestTicket the highest ticket number among them, 0 if there is none
 */
public record ConfigStamp(long digest, long highestTicket) {}
