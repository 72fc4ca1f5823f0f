package org.wagtailpin.store;

/**
 * The calls that this process may make to the store.
 *
 * <p>The store's rates hold for the whole fleet, so an entry's budget is its share of them and
 * changes with the membership. Calls about leases are counted but never held back, since a lease
 * that lapses for want of budget costs more calls than it saves.
 */
public interface StoreBudget {

  /** Returns how many reads and watches may begin, a second. */
  double readsPerSecond();

  /** Returns how many writes may begin, a second. */
  double writesPerSecond();
}
