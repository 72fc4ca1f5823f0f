package org.wagtailpin.entrypeer;

/**
 * Sender fields of an entry's messages, which identify the entry and its process.
 *
 * @param id the identifier of the entry, which stays the same when the process is restarted on the
 *     same host
 * @param incarnation a number that differs for each start of the process
 */
public record PeerIdentity(String id, long incarnation) {}
