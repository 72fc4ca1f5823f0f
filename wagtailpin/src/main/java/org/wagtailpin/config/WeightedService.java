package org.wagtailpin.config;

/**
 * One part of a route's traffic split.
 *
 * @param service the name of the service that serves the part
 * @param weight its weight relative to the other parts of the route, at least 0
 */
public record WeightedService(String service, double weight) {}
