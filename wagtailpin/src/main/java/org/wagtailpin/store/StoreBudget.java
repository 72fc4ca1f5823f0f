package org.wagtailpin.store;

/**
 * The rates at which this process may call the store.
 *
 * <p>The store's rate limits apply to the whole fleet, so the budget of an entry is its share of
 * them and changes with the membership. Lease calls are counted but never limited, because a lease
 * that expires for lack of budget causes more calls than the limit would save.
 */
public interface StoreBudget {

  /** Returns the maximum rate of new reads and watches, per second. */
  double readsPerSecond();

  /** Returns the maximum rate of new writes and deletions, per second. */
  double writesPerSecond();
}
