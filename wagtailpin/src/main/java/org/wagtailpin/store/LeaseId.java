package org.wagtailpin.store;

/**
 * Identity of a lease in the store.
 *
 * @param value the store's number for it
 */
public record LeaseId(long value) {}
