package org.wagtailpin.routing;

import org.wagtailpin.error.Fault;

/**
 * A decision not to run a call.
 *
 * @param fault the reason
 * @param retryAfterMillis after which time a further request may be served, in milliseconds
 */
public record Refusal(Fault fault, long retryAfterMillis) {}
