package org.wagtailpin.store;

/**
 * A constant budget.
 *
 * @param readsPerSecond the maximum rate of new reads and watches, per second
 * @param writesPerSecond the maximum rate of new writes, per second
 */
public record FixedStoreBudget(double readsPerSecond, double writesPerSecond)
    implements StoreBudget {}
