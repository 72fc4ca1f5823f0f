package org.wagtailpin.routing;

/**
 * Where this entry stands.
 *
 * @param region its region
 * @param failureDomain its failure domain
 */
public record Locality(String region, String failureDomain) {}
