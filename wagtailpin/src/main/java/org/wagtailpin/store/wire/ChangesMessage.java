package org.wagtailpin.store.wire;

import java.util.List;

/**
 * JSON body of the response to a watch.
 *
 * @param changes the changes of keys with the prefix, ordered by revision
 * @param storeRevision the revision after which to start the next watch
 */
public record ChangesMessage(List<ChangeMessage> changes, long storeRevision) {

  /** Copies the list of changes. */
  public ChangesMessage {
    changes = List.copyOf(changes);
  }
}
