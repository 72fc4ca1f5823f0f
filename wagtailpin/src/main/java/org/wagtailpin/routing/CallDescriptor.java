package org.wagtailpin.routing;

import org.wagtailpin.config.ConfigRoute;

/**
 * The properties of a call on which its placement depends.
 *
 * @param requestId the identifier of the call in log lines
 * @param route the route that matched
 * @param repeatable whether the work may be run more than once
 * @param callerGroup the name of the caller's group
 * @param depth how many calls led to this one, 0 for a call from outside, at most 9
 * @param deadlineMillis the time by {@link org.wagtailpin.clock.Clock#millis()} after which the
 *     answer is of no use
 */
public record CallDescriptor(
    String requestId,
    ConfigRoute route,
    boolean repeatable,
    String callerGroup,
    int depth,
    long deadlineMillis) {}
