package org.wagtailpin.config;

/**
 * The configuration in force, without the servers, which change without an operator.
 *
 * @param revision its store revision or ticket number, 0 if there is none yet
 * @param sinceMillis when it came into force, by the monotonic clock
 */
public record ConfigInForce(long revision, long sinceMillis) {}
