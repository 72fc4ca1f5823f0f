package org.wagtailpin.store;

/**
 * A budget that does not change.
 *
 * @param readsPerSecond how many reads and watches may begin, a second
 * @param writesPerSecond how many writes may begin, a second
 */
public record FixedStoreBudget(double readsPerSecond, double writesPerSecond)
    implements StoreBudget {}
