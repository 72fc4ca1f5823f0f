package org.wagtailpin.routing;

/**
 * The inputs of a placement decision on one call.
 *
 * @param history the call's earlier attempts
 * @param longWork whether its route's work is long compared with the median of its service
 * @param nowMillis the current time, in milliseconds
 * @param queuedMillis how long the call has been queued here, in milliseconds
 * @param bytes the number of bytes that the call is expected to transfer
 * @param work how long the work is expected to take
 * @param freeSlotOnly whether the call may only have a slot that is free, not wait at a server
 */
record PlacementRequest(
    AttemptHistory history,
    boolean longWork,
    double nowMillis,
    double queuedMillis,
    double bytes,
    WorkEstimate work,
    boolean freeSlotOnly) {}
