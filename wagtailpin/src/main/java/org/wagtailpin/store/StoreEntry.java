package org.wagtailpin.store;

import java.util.Optional;

/**
 * A key with its value, as the store held it at a revision.
 *
 * @param key the key
 * @param value the value
 * @param revision the revision of the key's last change
 * @param lease the lease that the key ends with, if any
 */
@SuppressWarnings("ArrayRecordComponent") // a value is bytes; entries are never compared
public record StoreEntry(String key, byte[] value, long revision, Optional<LeaseId> lease) {}
