package org.wagtailpin.config;

/**
 * Statement by which an entry's state was the store's.
 *
 * @param by {@link #STORE}, or the entry that watches the store and had the same state
 * @param atMillis when it was received, by the monotonic clock
 */
public record StateConfirmation(String by, long atMillis) {

  /** The confirming party of an entry that watches the store itself. */
  public static final String STORE = "store";
}
