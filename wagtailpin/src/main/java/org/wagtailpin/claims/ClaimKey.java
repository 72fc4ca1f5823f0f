package org.wagtailpin.claims;

/**
 * An idempotency key within its scope.
 *
 * @param scope the service and caller group that the key is unique within
 * @param key the caller's key, 1 to 255 characters
 */
public record ClaimKey(String scope, String key) {}
