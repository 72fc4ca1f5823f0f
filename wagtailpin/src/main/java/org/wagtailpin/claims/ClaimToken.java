package org.wagtailpin.claims;

/**
 * Proof of a granted claim.
 *
 * @param key the claimed key
 * @param attempt the id of the attempt that was granted, unique across all entries
 */
public record ClaimToken(ClaimKey key, String attempt) {}
