package org.wagtailpin.store;

/**
 * Identifier of a lease.
 *
 * @param value the number that the store assigned to the lease
 */
public record LeaseId(long value) {}
