package org.wagtailpin.store;

import java.util.List;
import org.wagtailpin.error.Fault;

/** How a read of many keys ended. */
public sealed interface ListResult {

  /**
   * The keys of the prefix.
   *
   * @param entries the keys with their values, in the order of the keys
   * @param storeRevision the store's revision when it answered
   */
  record Listed(List<StoreEntry> entries, long storeRevision) implements ListResult {}

  /**
   * Nothing is known.
   *
   * @param fault why
   */
  record Failed(Fault fault) implements ListResult {}
}
