package org.wagtailpin.store;

import java.util.List;
import org.wagtailpin.error.Fault;

/** Result of a watch. */
public sealed interface WatchResult {

  /**
   * The watch returned changes, or none because its wait time ended.
   *
   * @param changes the changes, ordered by revision
   * @param storeRevision the revision after which to start the next watch
   */
  record Changed(List<StoreChange> changes, long storeRevision) implements WatchResult {}

  /**
   * The store no longer holds all changes since the requested revision; the prefix must be listed
   * again.
   *
   * @param storeRevision the store's current revision
   */
  record Compacted(long storeRevision) implements WatchResult {}

  /**
   * The watch failed; whether keys have changed is not known.
   *
   * @param fault the cause of the failure
   */
  record Failed(Fault fault) implements WatchResult {}
}
