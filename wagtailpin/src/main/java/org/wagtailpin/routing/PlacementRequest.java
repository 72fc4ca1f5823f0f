package org.wagtailpin.routing;

/**
 * What a call asks of a server.
 *
 * @param history the call's earlier attempts
 * @param longWork whether its route is one of long work
 * @param nowMillis the time
 * @param queuedMillis how long it has been queued here
 * @param bytes how much it is expected to move, in bytes
 */
record PlacementRequest(
    AttemptHistory history,
    boolean longWork,
    double nowMillis,
    double queuedMillis,
    double bytes) {}
