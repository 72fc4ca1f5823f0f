package org.wagtailpin.call;

/**
 * What came of a routing decision: one attempt on a server.
 *
 * @param requestId the identifier of the call
 * @param service the name of the service
 * @param route the name of the route
 * @param server the name of the chosen server
 * @param attempt the number of the attempt, from 1
 * @param outcome how the attempt ended: {@code answered}, {@code not-run}, {@code unknown} or
 *     {@code cancelled}
 * @param status the HTTP status code of the answer, 0 if there was none
 * @param detail why there was no answer, empty if there was one
 * @param latencyMillis the time from the choice to the end, in milliseconds with a fraction
 */
public record Decision(
    String requestId,
    String service,
    String route,
    String server,
    int attempt,
    String outcome,
    int status,
    String detail,
    double latencyMillis) {}
