package org.wagtailpin.store;

import java.util.Optional;

/**
 * A key with its value at some revision of the store.
 *
 * @param key the full key
 * @param value the value; not copied
 * @param revision the revision of the key's last change
 * @param lease the lease with whose end the key is deleted, if any
 */
@SuppressWarnings("ArrayRecordComponent") // the value is raw bytes, and entries are never compared
public record StoreEntry(String key, byte[] value, long revision, Optional<LeaseId> lease) {}
