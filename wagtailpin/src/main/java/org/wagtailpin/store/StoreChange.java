package org.wagtailpin.store;

import java.util.Optional;

/**
 * A change of a key, as reported by a watch.
 *
 * @param key the full key
 * @param revision the store revision of the change
 * @param entry the key with its new value, or empty if the key was deleted
 */
public record StoreChange(String key, long revision, Optional<StoreEntry> entry) {}
