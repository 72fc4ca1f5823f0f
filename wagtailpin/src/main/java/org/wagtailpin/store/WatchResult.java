package org.wagtailpin.store;

import java.util.List;
import org.wagtailpin.error.Fault;

/** How a watch ended. */
public sealed interface WatchResult {

  /**
   * The changes, or none if the time to wait ran out.
   *
   * @param changes the changes in the order of their revisions
   * @param storeRevision the revision to continue from
   */
  record Changed(List<StoreChange> changes, long storeRevision) implements WatchResult {}

  /**
   * The store no longer holds all changes since the revision asked for; the prefix must be read
   * again.
   *
   * @param storeRevision the store's revision when it answered
   */
  record Compacted(long storeRevision) implements WatchResult {}

  /**
   * Nothing is known.
   *
   * @param fault why
   */
  record Failed(Fault fault) implements WatchResult {}
}
