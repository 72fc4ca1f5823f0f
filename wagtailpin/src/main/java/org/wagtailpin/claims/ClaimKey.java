package org.wagtailpin.claims;

/**
 * An idempotency key within its scope.
 *
 * @param scope the service and caller group within which the key is unique
 * @param key the key that the caller sent, 1 to 255 characters
 */
public record ClaimKey(String scope, String key) {}
