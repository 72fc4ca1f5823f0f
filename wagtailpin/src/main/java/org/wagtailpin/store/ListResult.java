package org.wagtailpin.store;

import java.util.List;
import org.wagtailpin.error.Fault;

/** Result of a read of all keys with a prefix. */
public sealed interface ListResult {

  /**
   * The existing keys with the prefix.
   *
   * @param entries the keys with their values, ordered by key
   * @param storeRevision the store's revision at which the keys were read
   */
  record Listed(List<StoreEntry> entries, long storeRevision) implements ListResult {}

  /**
   * The read failed; nothing is known about the keys.
   *
   * @param fault the cause of the failure
   */
  record Failed(Fault fault) implements ListResult {}
}
