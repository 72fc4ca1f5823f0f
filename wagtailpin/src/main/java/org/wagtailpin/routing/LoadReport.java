package org.wagtailpin.routing;

/**
 * What a backend server says of its own load.
 *
 * @param inFlight how many requests it runs, over all entries, at least 0
 * @param queued how many requests wait at the server, at least 0
 * @param leaving whether it says that it is leaving
 */
public record LoadReport(int inFlight, int queued, boolean leaving) {}
