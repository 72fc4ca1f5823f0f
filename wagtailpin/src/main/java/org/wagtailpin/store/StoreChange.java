package org.wagtailpin.store;

import java.util.Optional;

/**
 * A change of a key.
 *
 * @param key the key
 * @param revision the revision of the change
 * @param entry the key with its new value, or empty if it was deleted
 */
public record StoreChange(String key, long revision, Optional<StoreEntry> entry) {}
