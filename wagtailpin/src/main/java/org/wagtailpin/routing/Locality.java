package org.wagtailpin.routing;

/**
 * The location of an entry.
 *
 * @param region the name of its region
 * @param failureDomain the name of its failure domain
 */
public record Locality(String region, String failureDomain) {}
