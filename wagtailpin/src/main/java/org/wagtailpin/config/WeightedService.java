package org.wagtailpin.config;

/**
 * A service that gets a part of a route's requests.
 *
 * @param service the service's name
 * @param weight its part, in proportion to the other weights of the route, at least 0
 */
public record WeightedService(String service, double weight) {}
