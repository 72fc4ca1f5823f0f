package org.wagtailpin.store.wire;

import java.util.List;

/**
 * Changes of the keys of a prefix.
 *
 * @param changes the changes in the order of their revisions
 * @param storeRevision the revision to continue from
 */
public record ChangesMessage(List<ChangeMessage> changes, long storeRevision) {

  /** Copies the list. */
  public ChangesMessage {
    changes = List.copyOf(changes);
  }
}
