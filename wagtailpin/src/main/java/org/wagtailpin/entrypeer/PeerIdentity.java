package org.wagtailpin.entrypeer;

/**
 * How an entry names itself in messages.
 *
 * @param id its identifier, which a restarted process on the same host keeps
 * @param incarnation a number that is new at each start
 */
public record PeerIdentity(String id, long incarnation) {}
