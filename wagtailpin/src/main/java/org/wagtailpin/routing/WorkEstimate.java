package org.wagtailpin.routing;

/**
 * How long the work of a call is expected to take, and how much time it has left.
 *
 * @param expectedMillis the time that the work is expected to take, in milliseconds
 * @param remainingMillis the time until the call's deadline, in milliseconds
 * @param routeAnswers how many of the last answers of the call's own route the estimate is based
 *     on; 0 if only other routes of the service were answered
 */
public record WorkEstimate(double expectedMillis, double remainingMillis, int routeAnswers) {}
