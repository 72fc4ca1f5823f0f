package org.wagtailpin.call;

import org.wagtailpin.error.Fault;

/**
 * An answer that an entry makes itself.
 *
 * @param status the HTTP status code, 400 to 599
 * @param outcome what is known of the request
 * @param fault why there is no other answer
 */
public record Problem(int status, Outcome outcome, Fault fault) {}
