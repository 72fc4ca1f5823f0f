package org.wagtailpin.store;

import org.wagtailpin.error.Fault;

/** Result of a read of one key. */
public sealed interface ReadResult {

  /**
   * The key exists.
   *
   * @param entry the key with its value
   * @param storeRevision the store's revision at which the key was read
   */
  record Found(StoreEntry entry, long storeRevision) implements ReadResult {}

  /**
   * The key does not exist.
   *
   * @param storeRevision the store's revision at which the key was absent
   */
  record Absent(long storeRevision) implements ReadResult {}

  /**
   * The read failed; nothing is known about the key.
   *
   * @param fault the cause of the failure
   */
  record Failed(Fault fault) implements ReadResult {}
}
