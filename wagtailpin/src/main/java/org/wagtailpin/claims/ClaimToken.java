package org.wagtailpin.claims;

/**
 * Proof of a granted claim.
 *
 * @param key the key
 * @param attempt the number of this claim, unique over all entries
 */
public record ClaimToken(ClaimKey key, String attempt) {}
