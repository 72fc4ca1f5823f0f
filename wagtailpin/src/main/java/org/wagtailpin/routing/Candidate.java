package org.wagtailpin.routing;

/**
 * The server that a comparison favours.
 *
 * @param server the server
 * @param costMillis what the call is expected to cost there, in milliseconds
 * @param overload the calls beyond its slots that it would have with the new one, below 0 while
 *     slots stay free
 * @param estimatedLoad the work it is taken to have from all entries
 */
record Candidate(ServerState server, double costMillis, double overload, double estimatedLoad) {}
