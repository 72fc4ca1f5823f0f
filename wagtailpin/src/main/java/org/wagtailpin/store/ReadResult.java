package org.wagtailpin.store;

import org.wagtailpin.error.Fault;

/** How a read ended. */
public sealed interface ReadResult {

  /**
   * The key exists.
   *
   * @param entry the key with its value
   * @param storeRevision the store's revision when it answered
   */
  record Found(StoreEntry entry, long storeRevision) implements ReadResult {}

  /**
   * The key does not exist.
   *
   * @param storeRevision the store's revision when it answered
   */
  record Absent(long storeRevision) implements ReadResult {}

  /**
   * Nothing is known.
   *
   * @param fault why
   */
  record Failed(Fault fault) implements ReadResult {}
}
