package org.wagtailpin.store;

/**
 * Identifier of a lease.
 *
 * @param value the number that the store assigned to the lease
 * @param era the era of the store in which it assigned the number, which a store that was restored
 *     from an older copy may assign again
 */
public record LeaseId(long value, long era) {

  /** Creates the identifier of a lease of a store that was never restored. */
  public LeaseId(long value) {
    this(value, 0);
  }
}
