package org.wagtailpin.routing;

/**
 * A server that is compared for a call, with its estimated cost.
 *
 * @param server the server
 * @param costMillis what the call is expected to cost there, in milliseconds
 * @param overload the calls beyond its slots that it would have with the new one, below 0 while
 *     slots stay free
 * @param estimatedLoad the estimated work on the server from all entries, in calls
 */
record Candidate(ServerState server, double costMillis, double overload, double estimatedLoad) {}
