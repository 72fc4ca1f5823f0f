package org.wagtailpin.store.wire;

import java.util.List;

/**
 * JSON body of the response to a list call.
 *
 * @param entries the keys with the prefix and their values
 * @param storeRevision the store's revision at which the keys were read
 */
public record ListMessage(List<EntryMessage> entries, long storeRevision) {

  /** Copies the list of entries. */
  public ListMessage {
    entries = List.copyOf(entries);
  }
}
