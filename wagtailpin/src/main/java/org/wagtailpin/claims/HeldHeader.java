package org.wagtailpin.claims;

/**
 * A header of a held answer.
 *
 * @param name the header's name
 * @param value the header's value
 */
public record HeldHeader(String name, String value) {}
