package org.wagtailpin.claims;

/**
 * A header of a held answer.
 *
 * @param name the header's name, as received
 * @param value the header's value, as received
 */
public record HeldHeader(String name, String value) {}
