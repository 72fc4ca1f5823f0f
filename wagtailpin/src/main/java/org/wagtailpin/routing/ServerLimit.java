package org.wagtailpin.routing;

import org.wagtailpin.limits.RequestPace;

/**
 * A limit of requests that a server has named.
 *
 * @param perSecond the rate that it takes from all entries together, in requests per second
 * @param pace when this entry may send its share
 */
record ServerLimit(double perSecond, RequestPace pace) {}
